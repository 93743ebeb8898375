import type { LoopbackProxy } from "../../../standins/network/loopbackProxy.ts";
import type { ChildProcess } from "../../deployment/childProcess.ts";

/** A node of the deployment, which remains while its process is restarted. */
export interface SoakNode {
    name: string;
    /** Ports of its listeners. */
    ports: { callers: number; readiness: number; peers: number; admin: number; tunnels: number; };
    /** Proxy between the node and the store. */
    storeProxy: LoopbackProxy;
    settingsFile: string;
    process: ChildProcess;
    /** Wall-clock time at which the process was ordered to stop, in milliseconds; undefined while it should run. */
    endingSince: number | undefined;
    /** Whether the node has an active fault. */
    isTaken: boolean;
    /** Exit codes after graceful stops. */
    exitCodes: (number | undefined)[];
}
