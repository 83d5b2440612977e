//! Typed keys and ranges of the key-value service.

use std::fmt;

use serde::{Deserialize, Serialize};
use stdx::{Name, value_type};

value_type! {
    /// The SHA-256 of a file's content, in hexadecimal digits.
    #[derive(Serialize, Deserialize)]
    #[serde(transparent)]
    pub struct FileId(pub Name);
}

value_type! {
    /// The identity of a job, derived from its account and its idempotency key or content.
    #[derive(Serialize, Deserialize)]
    #[serde(transparent)]
    pub struct JobId(pub Name);
}

value_type! {
    /// A key of the key-value service. `Display` writes its text form and [`Key::parse`] reads it.
    pub enum Key {
        /// The metadata record of an input file.
        FileMeta {
            /// The account that owns the file.
            account: Name,
            /// The file.
            file: FileId,
        },
        /// A chunk of an input file.
        FileChunk {
            /// The account that owns the file.
            account: Name,
            /// The file.
            file: FileId,
            /// The zero-based number of the chunk.
            n: u32,
        },
        /// The manifest of a job; a job is accepted once its manifest is created.
        Manifest {
            /// The account that owns the job.
            account: Name,
            /// The job.
            job: JobId,
        },
        /// The record of a segment; it does not exist before the first claim.
        Segment {
            /// The account that owns the job.
            account: Name,
            /// The job.
            job: JobId,
            /// The zero-based number of the segment.
            n: u32,
        },
        /// A result chunk; its results are committed only once the segment record lists it.
        ResultChunk {
            /// The account that owns the job.
            account: Name,
            /// The job.
            job: JobId,
            /// The segment's number.
            n: u32,
            /// The chunk's name, unique in the segment.
            chunk: Name,
        },
        /// The index entry of an unfinished job.
        OpenJob {
            /// The job.
            job: JobId,
        },
        /// The live key of an instance, which exists while the instance's lease does; its value is the incarnation.
        Live {
            /// The instance.
            instance: Name,
        },
    }
}

value_type! {
    /// A range of keys, read in key order.
    pub enum Span {
        /// The index of unfinished jobs.
        OpenJobs {
            /// The last job of the previous page.
            after: Option<JobId>,
        },
        /// The segment records of a job from `from` up to but not including `to`.
        Segments {
            /// The account that owns the job.
            account: Name,
            /// The job.
            job: JobId,
            /// The first segment.
            from: u32,
            /// One past the last segment.
            to: u32,
        },
    }
}

value_type! {
    /// A range of keys in text form.
    pub struct Bounds {
        /// The prefix of all keys.
        pub prefix: String,
        /// The exclusive lower bound; `None` to start with the first key of the prefix.
        pub after: Option<String>,
        /// The exclusive upper bound; `None` to end with the last key of the prefix.
        pub end: Option<String>,
    }
}

impl Bounds {
    /// Returns whether a key that has the prefix is in the range.
    pub fn contains(&self, key: &str) -> bool {
        self.after.as_deref().is_none_or(|it| key > it)
            && self.end.as_deref().is_none_or(|it| key < it)
    }
}

impl Key {
    /// Parses the text form of a key; returns `None` if the text is not a key of this crate.
    pub fn parse(text: &str) -> Option<Self> {
        let parts: Vec<&str> = text.split('/').collect();
        Some(match parts.as_slice() {
            ["files", account, file, "meta"] => {
                Self::FileMeta { account: unescape(account)?, file: FileId(Name::new(file)) }
            }
            ["files", account, file, n] => Self::FileChunk {
                account: unescape(account)?,
                file: FileId(Name::new(file)),
                n: n.parse().ok()?,
            },
            ["jobs", account, job, "manifest"] => {
                Self::Manifest { account: unescape(account)?, job: JobId(Name::new(job)) }
            }
            ["jobs", account, job, "segment", n] => Self::Segment {
                account: unescape(account)?,
                job: JobId(Name::new(job)),
                n: n.parse().ok()?,
            },
            ["jobs", account, job, "result", n, chunk] => Self::ResultChunk {
                account: unescape(account)?,
                job: JobId(Name::new(job)),
                n: n.parse().ok()?,
                chunk: Name::new(chunk),
            },
            ["open", job] => Self::OpenJob { job: JobId(Name::new(job)) },
            ["live", instance] => Self::Live { instance: unescape(instance)? },
            _ => return None,
        })
    }
}

impl Span {
    /// Returns the bounds of the range in text form.
    pub fn bounds(&self) -> Bounds {
        match self {
            Self::OpenJobs { after } => Bounds {
                prefix: "open/".to_owned(),
                after: after.as_ref().map(|it| format!("open/{}", it.0)),
                end: None,
            },
            Self::Segments { account, job, from, to } => {
                let key = |n| Key::Segment { account: account.clone(), job: job.clone(), n };
                Bounds {
                    prefix: format!("jobs/{}/{}/segment/", escape(account), job.0),
                    after: from.checked_sub(1).map(|it| key(it).to_string()),
                    end: Some(key(*to).to_string()),
                }
            }
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FileMeta { account, file } => {
                write!(f, "files/{}/{}/meta", escape(account), file.0)
            }
            Self::FileChunk { account, file, n } => {
                write!(f, "files/{}/{}/{n:06}", escape(account), file.0)
            }
            Self::Manifest { account, job } => {
                write!(f, "jobs/{}/{}/manifest", escape(account), job.0)
            }
            Self::Segment { account, job, n } => {
                write!(f, "jobs/{}/{}/segment/{n:06}", escape(account), job.0)
            }
            Self::ResultChunk { account, job, n, chunk } => {
                write!(f, "jobs/{}/{}/result/{n:06}/{chunk}", escape(account), job.0)
            }
            Self::OpenJob { job } => write!(f, "open/{}", job.0),
            Self::Live { instance } => write!(f, "live/{}", escape(instance)),
        }
    }
}

/// Escapes slashes, so that an account such as `kigali/acme` is a single component of a key.
fn escape(text: &str) -> String {
    text.replace('%', "%25").replace('/', "%2F")
}

fn unescape(text: &str) -> Option<Name> {
    (!text.is_empty()).then(|| Name::from(text.replace("%2F", "/").replace("%25", "%")))
}
