import type { IdleNode } from "./idleNode.ts";
import type { PathFigures } from "./pathFigures.ts";
import type { PeerFigures } from "./peerFigures.ts";
import type { ReportPropagation } from "./reportPropagation.ts";
import type { Slope } from "./slope.ts";

/** Results of one run. Parts that weren't run are undefined. */
export interface Measurements {
    slopes: Slope[];
    path?: PathFigures;
    peers?: PeerFigures;
    reports?: ReportPropagation[];
    idleNodes?: IdleNode[];
}
