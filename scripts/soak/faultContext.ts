import type { LocalDeployment } from "../deployment/localDeployment.ts";
import type { FaultTimeline } from "./faultTimeline.ts";
import type { NodeFleet } from "./nodeFleet.ts";
import type { NodeWatch } from "./nodeWatch.ts";
import type { SeededRandom } from "./seededRandom.ts";
import type { Violations } from "./violations.ts";

/** What faults act on. */
export interface FaultContext {
    deployment: LocalDeployment;
    fleet: NodeFleet;
    watch: NodeWatch;
    timeline: FaultTimeline;
    violations: Violations;
    random: SeededRandom;
    /** Names of the engines and documents at which a fault is shown. */
    taken: Set<string>;
    /** Spans in which an engine was leaving and its record could be checked. */
    leavingChecks: { checked: number; skipped: number; };
}
