//! The prompts of the simulated requests.

use super::*;

impl Simulation {
    pub(super) fn bad(&self) -> u64 {
        match self.course.prompts {
            Prompts::BadSecond | Prompts::TwoBad => BAD,
            Prompts::BadFirst | Prompts::BadInOneModel | Prompts::SameWhole => FIRST,
        }
    }

    pub(super) fn next_kind(&self, kind: Kind) -> Kind {
        match (self.course.prompts, kind) {
            (Prompts::TwoBad, Kind::Bad(BAD)) => Kind::Bad(OTHER_BAD),
            (Prompts::TwoBad, Kind::Bad(_)) => Kind::Bad(BAD),
            _ => kind,
        }
    }

    pub(super) fn asked(&mut self, kind: Kind) -> Asked {
        let content = self.number();
        let session = (SESSIONS + self.random.random_range(0..40)) << 32;
        let parts = match (kind, self.course.prompts) {
            (Kind::Bad(bad), Prompts::BadSecond | Prompts::TwoBad) => vec![FIRST, bad],
            (Kind::Bad(_), Prompts::BadFirst | Prompts::BadInOneModel) => vec![FIRST],
            (Kind::Related, Prompts::BadFirst) => vec![OTHER_BAD],
            (Kind::Related, Prompts::BadInOneModel) => vec![IN_OTHER_MODEL],
            (Kind::Bad(_) | Kind::Related, Prompts::SameWhole) => vec![FIRST, BAD],
            (Kind::Related, _) => vec![FIRST, session],
            (Kind::Unrelated, _) => vec![UNRELATED, UNRELATED + session],
        };
        let is_same = matches!(kind, Kind::Bad(_)) && self.course.prompts == Prompts::SameWhole;
        Asked {
            content: if is_same { 9 } else { content },
            parts,
            team: TEAM,
        }
    }
}
