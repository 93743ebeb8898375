import type { LocalDeployment } from "../deployment/localDeployment.ts";
import type { FaultTimeline } from "./faultTimeline.ts";
import type { NodeFleet } from "./nodeFleet.ts";
import type { NodeWatch } from "./nodeWatch.ts";
import type { SeededRandom } from "./seededRandom.ts";
import type { Violations } from "./violations.ts";

/** The parts of a soak test that faults act on. */
export interface FaultContext {
    deployment: LocalDeployment;
    fleet: NodeFleet;
    watch: NodeWatch;
    timeline: FaultTimeline;
    violations: Violations;
    random: SeededRandom;
    /** Names of the stand-ins that have an active fault. */
    taken: Set<string>;
    /** Periods in which an engine was leaving: those that were checked, and those skipped because of other faults. */
    leavingChecks: { checked: number; skipped: number; };
}
