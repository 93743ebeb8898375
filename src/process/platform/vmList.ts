import type { Result } from "../../result.ts";
import type { PlatformError } from "./platformError.ts";

/** A machine in the platform's list, which may be out of date. */
export interface VmRecord {
    vm: string;
    state: "live" | "leaving";
    /** Process on the machine: a foxlead node or an endpoint. */
    role: "node" | "endpoint";
    /** Address as host:port: the peer listener of a node or the service port of an endpoint. */
    address: string;
    dataCentre: string;
}

/** Reads the platform's list of machines. */
export type ListVms = () => Promise<Result<VmRecord[], PlatformError>>;
