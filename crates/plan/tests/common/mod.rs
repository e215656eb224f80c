//! A planner that leads alone.

#![allow(dead_code)] // not every test needs all of it

use dewpier_plan::{Announcer, Node, Plan, PlannerMessage, Publisher, Version};
use std::time::Duration;

/// Plans by what it sees itself, in one term.
pub struct Alone {
    me: u32,
    term: u64,
    announcer: Announcer,
    publisher: Publisher,
}

impl Alone {
    pub fn new(me: u32, term: u64, epoch: u64) -> Self {
        Self { me, term, announcer: Announcer::new(me, epoch), publisher: Publisher::default() }
    }

    /// What followers are to be told, in that order.
    pub fn update(&mut self, nodes: Vec<Node>) -> Vec<PlannerMessage> {
        let before = self.announcer.version();
        let drains = self.announcer.observe(nodes);
        let mut told = self.publisher.add_drains(drains);
        if self.announcer.version() != before {
            let generation = self.publisher.plan().version.generation + 1;
            told.extend(self.publisher.publish(
                Plan {
                    version: Version { term: self.term, generation },
                    nodes: self.announcer.view().to_vec(),
                    acknowledged: vec![(self.me, self.announcer.version())],
                },
                Duration::ZERO,
            ));
        }
        told
    }

    pub fn plan(&self) -> &Plan {
        self.publisher.plan()
    }

    pub fn catch_up(&self, has: Option<Version>) -> Vec<PlannerMessage> {
        self.publisher.catch_up(has, Duration::ZERO)
    }

    pub fn beat(&self, number: u64, lease_ms: u64) -> PlannerMessage {
        self.publisher.heartbeat_reply(number, lease_ms)
    }
}
