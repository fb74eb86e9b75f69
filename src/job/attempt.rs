//! Attempts to have a caller's request answered.
//!
//! Requests are idempotent, since every one names its job: one whose outcome is unknown is sent again,
//! and a job that was already stored is not stored twice. The answer to a later attempt speaks for that
//! attempt alone: the first one may have been stored by an owner that has ended since, under a manifest
//! that has changed since. So a denial is not passed on then, as the job may run. That there is no such job is
//! passed on: the ledger has confirmed it, and what is to be cancelled does not run then.

use {super::answer::Answer, std::time::Duration};

/// Attempts of one request.
#[derive(Debug)]
pub struct Attempts {
    /// Whether the request changes anything, other than a query.
    changes: bool,
    /// Why the outcome of an attempt is unknown, if one is.
    unknown: Option<String>,
}

impl Attempts {
    /// No attempt yet of a request that `changes` something, or of a query.
    pub fn new(changes: bool) -> Self {
        Self { changes, unknown: None }
    }

    /// Returns the answer that the caller gets after an attempt was answered with `answer`, or none if
    /// the request is to be sent again. A request that no owner has received waits for the next owner only
    /// while a takeover is likely to be in progress; after that it is refused.
    pub fn decide(&mut self, answer: Answer, expects_takeover: bool) -> Option<Answer> {
        match answer {
            Answer::Unknown(why) => {
                self.unknown = Some(why);
                None
            }
            Answer::Refused { .. } | Answer::OverRate { .. } if self.unknown.is_some() => None,
            Answer::NoOwner(why) if self.unknown.is_none() && !expects_takeover => {
                Some(Answer::refused(why, Duration::ZERO))
            }
            Answer::NoOwner(_) => None,
            denial if self.changes && denial.is_denial() => match self.unknown.take() {
                Some(why) => Some(Answer::Unknown(format!("{why}; a later attempt: {denial}"))),
                None => Some(denial),
            },
            final_answer => Some(final_answer),
        }
    }

    /// Answer that the caller gets when there is no time for another attempt.
    pub fn give_up(self) -> Answer {
        match self.unknown {
            Some(why) => Answer::Unknown(why),
            None => Answer::refused("no entry owns the cell now", Duration::ZERO),
        }
    }
}
