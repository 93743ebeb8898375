import * as z from "zod";
import { systemClock } from "../systemClock.ts";
import { CallEffect } from "./callEffect.ts";
import { PlatformTransport } from "./platformTransport.ts";
import type { ListVms } from "./vmList.ts";

const vmListSchema = z.object({
    vms: z.array(z.object({
        vm: z.string(),
        state: z.enum(["live", "leaving"]),
        role: z.enum(["node", "endpoint"]),
        address: z.string(),
        dataCentre: z.string(),
    })),
});

interface VmListReaderOptions {
    /** Address of the service as `host:port`. */
    address: string;
    /** Timeout of a call, in milliseconds. */
    timeoutMilliseconds: number;
}

/**
 * Creates a function that reads the platform's list of machines. Its idle connections do not keep the process alive.
 * @param options - Address and timeout.
 */
export function createVmListReader(options: VmListReaderOptions): ListVms {
    const transport = PlatformTransport.create({ ...options, clock: systemClock });
    return async () => {
        const answer = await transport.call({
            method: "GET",
            path: "/v1/vms",
            effect: CallEffect.Read,
            schema: vmListSchema,
        });
        return answer.map(list => list.vms);
    };
}
