import type { FaultTimeline } from "../faultTimeline.ts";
import type { SeededRandom } from "../seededRandom.ts";
import type { Violations } from "../violations.ts";
import type { RouterCallers } from "./routerCallers.ts";
import type { RouterDeployment } from "./routerDeployment.ts";

/** The parts of a soak test of `foxlead platform` that faults act on. */
export interface RouterSoakContext {
    deployment: RouterDeployment;
    random: SeededRandom;
    timeline: FaultTimeline;
    callers: RouterCallers;
    violations: Violations;
}
