//! The operators' console of forms.
