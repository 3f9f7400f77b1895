//! Interactive questionnaire that writes the initial answers file.

mod init_command;
mod question_list;
mod text_prompt;

pub(crate) use init_command::INIT_COMMAND;
