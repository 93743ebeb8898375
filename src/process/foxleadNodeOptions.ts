import type { CreateSocket } from "../connection/upstream/path/createSocket.ts";
import type { Clock } from "./clock.ts";
import type { EventLog } from "./logging/eventLog.ts";
import type { RandomSource } from "./randomSource.ts";
import type { NodeSettings } from "./settings/nodeSettings.ts";

/** Options of a `FoxleadNode`. */
export interface FoxleadNodeOptions {
    settings: NodeSettings;
    log: EventLog;
    clock: Clock;
    random: RandomSource;
    /** Creates the sockets of direct connections to endpoints. Default: TCP sockets. */
    createSocket?: CreateSocket;
}
