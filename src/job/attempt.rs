//! Attempts to have a caller's request answered.
//!
//! Requests are idempotent, since every one names its job: one whose outcome is unknown is sent again,
//! and a job that was already stored is not stored twice.

use {super::answer::Answer, std::time::Duration};

/// Attempts of one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Why the outcome of an attempt is unknown, if one is.
    unknown: Option<String>,
}

impl Attempts {
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
