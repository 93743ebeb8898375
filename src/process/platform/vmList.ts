import type { Result } from "../../result.ts";
import type { PlatformError } from "./platformError.ts";

/** A machine in the platform's list, which lags. */
export interface VmRecord {
    vm: string;
    /** One of live, leaving. */
    state: "live" | "leaving";
    /** What runs on it: foxlead or an endpoint. */
    role: "node" | "endpoint";
    /** host:port of the process's listener: the peer listener of a node, the service port of an endpoint. */
    address: string;
    dataCentre: string;
}

/** Reads the platform's list of machines. */
export type ListVms = () => Promise<Result<VmRecord[], PlatformError>>;
