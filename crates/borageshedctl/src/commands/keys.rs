//! `keys`: adds and withdraws callers' keys.

use std::time::Duration;

use fleet::{
    QualifiedName, SectionId,
    names::{self, Kind},
    revision::{Chunks, digest},
};
use jsonc_parser::{
    ParseOptions,
    cst::{CstArray, CstInputValue, CstObject, CstRootNode},
};
use platform::PlatformStore;
use serde_json::json;
use stdx::Name;

use crate::{
    accepted::{Accepted, Change, accept},
    cli::{FollowArgs, KeyArgs, KeysCommand},
    context::Context,
    error::{Failure, Result},
    follow,
};

/// 256 random bits, so that a key cannot be found from its SHA-256 by search.
const KEY_BYTES: usize = 32;
/// The maximum number of attempts to change a key; each uses the newest text of the section.
const MAX_ATTEMPTS: u32 = 20;

/// Adds or withdraws a key.
///
/// # Errors
///
/// Fails if the account or key does not exist, or for the reasons of `apply`.
pub async fn run(cx: &Context, command: &KeysCommand) -> Result<()> {
    let (KeysCommand::Give(args) | KeysCommand::Withdraw(args)) = command;
    cx.check_follow(&args.follow)?;
    match command {
        KeysCommand::Give(args) => give(cx, args).await,
        KeysCommand::Withdraw(args) => withdraw(cx, args).await,
    }
}

async fn give(cx: &Context, args: &KeyArgs) -> Result<()> {
    let key = hex::encode(rand::random::<[u8; KEY_BYTES]>());
    let sha256 = digest(key.as_bytes());
    let given = change(cx, args, |text, account| add_key(text, account, &args.id, &sha256)).await;
    let (account, number) = given.map_err(|e| match e {
        Failure::Unknown(reason) => Failure::Unknown(format!(
            "{reason}; the new key is not shown, so withdraw key {:?} if `accounts` lists it and give another",
            args.id
        )),
        e => e,
    })?;
    let text = format!(
        "{key}\nkey {:?} of {account} is accepted in revision {number}; it is not shown again",
        args.id
    );
    let value =
        json!({ "account": account.to_string(), "id": args.id, "key": key, "revision": number });
    cx.emit(&text, &value);
    wait(cx, number, &args.follow).await
}

async fn withdraw(cx: &Context, args: &KeyArgs) -> Result<()> {
    let (account, number) =
        change(cx, args, |text, account| remove_key(text, account, &args.id)).await?;
    let text = format!("key {:?} of {account} is withdrawn in revision {number}", args.id);
    let value = json!({ "account": account.to_string(), "id": args.id, "revision": number });
    cx.emit(&text, &value);
    wait(cx, number, &args.follow).await
}

async fn wait(cx: &Context, number: u64, follow: &FollowArgs) -> Result<()> {
    if follow.wait { follow::wait(cx, number, follow).await } else { Ok(()) }
}

/// Changes the section of an account. After a conflict, the change is repeated on the newer text.
async fn change(
    cx: &Context,
    args: &KeyArgs,
    edit: impl Fn(&str, &Name) -> Result<String>,
) -> Result<(QualifiedName, u64)> {
    let store = cx.store()?;
    let read_back = Duration::from_secs(args.follow.read_back_s);
    let mut result = Err(Failure::Conflict("the section was never read".to_owned()));
    for _ in 0..MAX_ATTEMPTS {
        result = try_change(cx, &store, args, &edit, read_back).await;
        if !matches!(result, Err(Failure::Conflict(_))) {
            break;
        }
        cx.progress("the section was changed meanwhile; repeating the change on the newer text");
    }
    result
}

async fn try_change(
    cx: &Context,
    store: &PlatformStore,
    args: &KeyArgs,
    edit: &impl Fn(&str, &Name) -> Result<String>,
    read_back: Duration,
) -> Result<(QualifiedName, u64)> {
    let accepted = Accepted::read(store, &Chunks::new()).await?;
    let document = &accepted.require_revision()?.document;
    let account = names::resolve(document.accounts.keys(), None, Kind::Account, &args.account)
        .map_err(|e| Failure::Refused(e.to_string()))?
        .clone();
    let section = SectionId::Accounts(account.origin.clone());
    let text = accepted.text(&section)?.unwrap_or_default();
    let change = Change {
        file: section.to_string(),
        text: Some(Name::from(edit(&text, &account.name)?)),
        base: accepted.changed_in(&section),
        section,
    };
    let number = accept(cx, store, accepted, &[change], read_back).await?;
    Ok((account, number))
}

fn add_key(text: &str, account: &Name, id: &str, sha256: &Name) -> Result<String> {
    let root = parse(text)?;
    let keys = keys_array(&root, account)?;
    if find_key(&keys, id).is_some() {
        return Err(Failure::Refused(format!("account {account:?} already has a key {id:?}")));
    }
    keys.append(CstInputValue::Object(vec![
        ("id".to_owned(), CstInputValue::String(id.to_owned())),
        ("sha256".to_owned(), CstInputValue::String(sha256.to_string())),
    ]));
    Ok(root.to_string())
}

fn remove_key(text: &str, account: &Name, id: &str) -> Result<String> {
    let root = parse(text)?;
    let keys = keys_array(&root, account)?;
    let missing = || Failure::Refused(format!("account {account:?} has no key {id:?}"));
    find_key(&keys, id).ok_or_else(missing)?.remove();
    Ok(root.to_string())
}

/// Parses a section into a tree that keeps comments and layout.
fn parse(text: &str) -> Result<CstRootNode> {
    CstRootNode::parse(text, &ParseOptions::default()).map_err(|e| Failure::Refused(e.to_string()))
}

fn keys_array(root: &CstRootNode, account: &Name) -> Result<CstArray> {
    let missing = || {
        Failure::Refused(format!("the section does not contain account {account:?} as an object"))
    };
    let account =
        root.object_value().and_then(|it| it.object_value(account)).ok_or_else(missing)?;
    Ok(account.array_value_or_set("keys"))
}

fn find_key(keys: &CstArray, id: &str) -> Option<CstObject> {
    let has_id = |it: &CstObject| {
        let value = it.get("id")?.value()?.as_string_lit()?.decoded_value().ok()?;
        Some(value == id)
    };
    let objects = keys.elements().into_iter().filter_map(|it| it.as_object());
    objects.into_iter().find(|it| has_id(it) == Some(true))
}
