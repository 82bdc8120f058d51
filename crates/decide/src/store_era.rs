//! Era of an answer of the platform's store.

use apricothall_types::Era;
use thiserror::Error;

/// An answer states no usable era.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EraError {
    /// The era is not a number.
    #[error("era is not a number: {0:?}")]
    NotNumber(String),
    /// The answer is of an era that has ended.
    #[error("answer of era {stated}, which ended before era {known}")]
    Ended {
        /// Era of the answer.
        stated: Era,
        /// Latest known era.
        known: Era,
    },
}

/// Era of an answer with the header value `stated`. An answer without one belongs to the latest
/// `known` era, which is zero if the platform states none.
///
/// # Errors
/// If the value is no number, or lower than `known`.
pub fn answer_era(stated: Option<&[u8]>, known: Era) -> Result<Era, EraError> {
    let Some(stated) = stated else {
        return Ok(known);
    };
    let text = String::from_utf8_lossy(stated);
    let Ok(stated) = text.parse() else {
        return Err(EraError::NotNumber(text.into_owned()));
    };
    if stated < known {
        return Err(EraError::Ended { stated, known });
    }
    Ok(stated)
}
