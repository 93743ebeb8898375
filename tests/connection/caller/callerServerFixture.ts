import { createHash } from "node:crypto";
import { findFreePorts } from "../../../scripts/deployment/findFreePorts.ts";
import { CallerServer } from "../../../src/connection/caller/callerServer.ts";
import { Metrics } from "../../../src/process/metrics/metrics.ts";
import { systemClock } from "../../../src/process/systemClock.ts";
import { Tracing } from "../../../src/process/tracing/tracing.ts";
import type { RequestEnvironment } from "../../../src/request/requestEnvironment.ts";
import { CustomerIndex } from "../../../src/version/customerIndex.ts";
import { parseConfiguration } from "../../../src/version/parseConfiguration.ts";
import { RecordingEventLog } from "../../support/recordingEventLog.ts";
import { createNodeConfiguration } from "./createNodeConfiguration.ts";

/** Options of {@link createCallerServer}. */
interface CallerServerFixtureOptions {
    apiKey: string;
    /** Parts of the process that the test replaces. The others are undefined, except for a few common ones. */
    environment: Partial<RequestEnvironment>;
    limits?: object;
    getRefusal?(): { code: string; message: string; retryAfterMilliseconds: number; } | undefined;
}

const unusedAddress = "127.0.0.1:1";

/** Starts a caller server with parts that the test replaces. */
export async function createCallerServer(options: CallerServerFixtureOptions) {
    const [port] = await findFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const log = RecordingEventLog.create();
    const keyHash = `sha256:${createHash("sha256").update(options.apiKey).digest("hex")}`;
    const names = ["engine-1", "engine-2", "document-1", "document-2"] as const;
    const addresses = Object.fromEntries(names.map(name => [name, unusedAddress])) as Record<
        typeof names[number],
        string
    >;
    const text = JSON.stringify(createNodeConfiguration(addresses, keyHash, {}));
    const configuration = parseConfiguration(text).unwrap();
    const version = { version: 1, editId: "first", text, configuration };
    const common = { log, clock: systemClock, metrics: Metrics.create(), dataCentre: "centre-a" };
    const tracing = Tracing.create({ sampleRatio: 0, vm: "node-1" });
    const server = CallerServer.create({
        listener: address,
        limits: {
            maximumConnections: 100,
            maximumHeldBytes: 100_000_000,
            maximumRequestsPerConnection: 32,
            headerTimeoutMilliseconds: 10_000,
            bodyTimeoutMilliseconds: 10_000,
            ...options.limits,
        },
        environment: { ...common, tracing, ...options.environment } as RequestEnvironment,
        getVersion: () => ({ version, customers: CustomerIndex.create(configuration) }),
        getRefusal: options.getRefusal ?? (() => undefined),
    });
    await server.listen();
    return { server, address, log };
}
