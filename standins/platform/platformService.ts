import type { ServerResponse } from "node:http";
import type { Clock } from "../../src/process/clock.ts";
import { CallCounts } from "./callCounts.ts";
import { CallKind } from "./callKind.ts";
import { EtcdGateway } from "./etcdGateway.ts";
import { KeyValueState } from "./keyValueState.ts";
import { RateLimiter } from "./rateLimiter.ts";
import type { StandinAnswer } from "./standinAnswer.ts";
import { VmListHistory } from "./vmListHistory.ts";
import { WatchStreams } from "./watchStreams.ts";

const tooManyRequests: StandinAnswer = {
    status: 429,
    body: { code: 8, message: "etcdserver: too many requests", details: [] },
    hasWritten: false,
};
const readKinds: readonly CallKind[] = [CallKind.Range, CallKind.Watch];

interface PlatformServiceOptions {
    clock: Clock;
    /** Age of the list of machines that is shown, in milliseconds. */
    vmListLagMilliseconds: number;
    /** Transactions and lease calls that are let through, a second. */
    writesPerSecond: number;
    /** Range and watch calls that are let through, a second. */
    readsPerSecond: number;
    /** Time between progress notices of watches, in milliseconds. */
    progressMilliseconds: number;
    /** Whether nothing must be sent on a response's connection. */
    isSilent(response: ServerResponse): boolean;
}

/** What the platform does, without its faults: keys, leases, watches, the list of machines, counts and rate limits. */
export class PlatformService {
    readonly vmList: VmListHistory;
    readonly watches: WatchStreams;
    readonly state: KeyValueState;
    private readonly counts = CallCounts.create();
    private readonly gateway: EtcdGateway;
    private readonly writeLimiter: RateLimiter;
    private readonly readLimiter: RateLimiter;

    private constructor(options: PlatformServiceOptions) {
        const { clock } = options;
        this.vmList = VmListHistory.create(clock, options.vmListLagMilliseconds);
        this.watches = WatchStreams.create(options);
        this.state = KeyValueState.create(clock, events => this.watches.publish(events, this.state.getRevision()));
        this.gateway = EtcdGateway.create(this.state);
        this.writeLimiter = RateLimiter.create(clock, options.writesPerSecond);
        this.readLimiter = RateLimiter.create(clock, options.readsPerSecond);
    }

    static create(options: PlatformServiceOptions): PlatformService {
        return new PlatformService(options);
    }

    /** Gets the counts, with the number of watches that are open now. */
    getCounts(): ReturnType<CallCounts["getCounts"]> & { openWatches: number; } {
        return { ...this.counts.getCounts(), openWatches: this.watches.getCount() };
    }

    /** Sets the counts to 0; the open watches stay open. */
    resetCounts(): void {
        this.counts.reset();
    }

    /**
     * Counts and makes a call.
     * @param kind - Kind of call.
     * @param body - Request.
     * @param response - Response that a watch streams on.
     * @returns The answer; undefined where the call has begun to stream.
     */
    run(kind: CallKind, body: unknown, response: ServerResponse): StandinAnswer | undefined {
        this.counts.add(kind);
        if (!this.tryPass(kind)) {
            this.counts.addRateLimited();
            return tooManyRequests;
        }
        switch (kind) {
            case CallKind.Range:
                return this.gateway.range(body);
            case CallKind.Transaction:
                return this.gateway.transaction(body);
            case CallKind.LeaseGrant:
                return this.gateway.leaseGrant(body);
            case CallKind.LeaseKeepAlive:
                return this.gateway.leaseKeepAlive(body);
            case CallKind.LeaseRevoke:
                return this.gateway.leaseRevoke(body);
            case CallKind.VmList:
                return { status: 200, body: { vms: this.vmList.getVms() }, hasWritten: false };
            case CallKind.Watch:
                this.watches.open(body, response, this.state);
                return undefined;
        }
    }

    /** Breaks the watches and stops all timers. */
    close(): void {
        this.watches.close();
        this.state.leases.replaceAll(new Map());
    }

    private tryPass(kind: CallKind): boolean {
        if (kind === CallKind.VmList) {
            return true;
        }
        return readKinds.includes(kind) ? this.readLimiter.tryTake() : this.writeLimiter.tryTake();
    }
}
