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
    /** Lag of the VM list, in milliseconds. */
    vmListLagMilliseconds: number;
    /** Rate limit of transactions and lease calls. */
    writesPerSecond: number;
    /** Rate limit of range and watch calls. */
    readsPerSecond: number;
    /** Interval between the progress notifications of watches, in milliseconds. */
    progressMilliseconds: number;
    /** Gets if nothing may be sent on the connection of a response. */
    isSilent(response: ServerResponse): boolean;
}

/** The platform without fault injection: keys, leases, watches, the VM list, call counts and rate limits. */
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

    /** Gets the call counts and the number of open watches. */
    getCounts(): ReturnType<CallCounts["getCounts"]> & { openWatches: number; } {
        return { ...this.counts.getCounts(), openWatches: this.watches.getCount() };
    }

    /** Resets the call counts to 0. Open watches stay open. */
    resetCounts(): void {
        this.counts.reset();
    }

    /**
     * Counts a call and executes it unless its rate limit is exceeded.
     * @param response - Response on which a watch streams its events.
     * @returns The response to send, or undefined if the call streams its response.
     */
    run(kind: CallKind, body: unknown, response: ServerResponse): StandinAnswer | undefined {
        this.counts.add(kind);
        if (!this.tryTakeToken(kind)) {
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

    /** Destroys all watches and stops all timers. */
    close(): void {
        this.watches.close();
        this.state.leases.replaceAll(new Map());
    }

    private tryTakeToken(kind: CallKind): boolean {
        if (kind === CallKind.VmList) {
            return true;
        }
        return readKinds.includes(kind) ? this.readLimiter.tryTake() : this.writeLimiter.tryTake();
    }
}
