//! The questionnaire: questions at a terminal, and the first file of answers.

mod init_command;
mod question_list;
mod text_prompt;

pub(crate) use init_command::INIT_COMMAND;
