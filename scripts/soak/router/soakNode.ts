import type { LoopbackProxy } from "../../../standins/network/loopbackProxy.ts";
import type { ChildProcess } from "../../deployment/childProcess.ts";

/** A node of the deployment, also while its process is not there. */
export interface SoakNode {
    name: string;
    /** Ports of its listeners. */
    ports: { callers: number; readiness: number; peers: number; admin: number; };
    /** Stands between the node and the store. */
    storeProxy: LoopbackProxy;
    settingsFile: string;
    process: ChildProcess;
    /** Wall-clock time in milliseconds from which the process is being ended; undefined while it is not. */
    endingSince: number | undefined;
    /** Whether a fault is being shown at it. */
    isTaken: boolean;
    /** Exit codes after SIGTERM. */
    exitCodes: (number | undefined)[];
}
