//! A planner without other planners.

#![allow(dead_code)] // not every test uses all of it

use dewpier_plan::{Announcer, Node, Plan, PlannerMessage, Publisher, Version};
use std::time::Duration;

/// Publishes plans from its own view, in one term.
pub struct SinglePlanner {
    number: u32,
    term: u64,
    announcer: Announcer,
    publisher: Publisher,
}

impl SinglePlanner {
    pub fn new(number: u32, term: u64, epoch: u64) -> Self {
        Self { number, term, announcer: Announcer::new(number, epoch), publisher: Publisher::default() }
    }

    /// Updates the view and returns the messages for followers, in order.
    pub fn update(&mut self, nodes: Vec<Node>) -> Vec<PlannerMessage> {
        let before = self.announcer.version();
        let drains = self.announcer.observe(nodes);
        let mut messages = self.publisher.add_drains(drains);
        if self.announcer.version() != before {
            let generation = self.publisher.plan().version.generation + 1;
            messages.extend(self.publisher.publish(
                Plan {
                    version: Version { term: self.term, generation },
                    nodes: self.announcer.view().to_vec(),
                    acknowledged: vec![(self.number, self.announcer.version())],
                },
                Duration::ZERO,
            ));
        }
        messages
    }

    pub fn plan(&self) -> &Plan {
        self.publisher.plan()
    }

    pub fn catch_up(&self, known_version: Option<Version>) -> Vec<PlannerMessage> {
        self.publisher.catch_up(known_version, Duration::ZERO)
    }

    pub fn heartbeat_reply(&self, number: u64, lease_ms: u64) -> PlannerMessage {
        self.publisher.heartbeat_reply(number, lease_ms)
    }
}
