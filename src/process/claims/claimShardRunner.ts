import type { Clock, TimerHandle } from "../clock.ts";
import type { EventTime } from "../eventTime.ts";
import { InvariantError } from "../invariantError.ts";
import type { EventLog } from "../logging/eventLog.ts";
import { events } from "../logging/events.ts";
import type { PlatformStore } from "../platform/platformStore.ts";
import type { Claim } from "./claim.ts";
import { ClaimOutcome } from "./claimOutcome.ts";
import type { ClaimShard } from "./claimShard.ts";
import type { ClaimVerdict } from "./claimVerdict.ts";
import type { GrantLedger } from "./grantLedger.ts";
import type { ShardCall } from "./shardCall.ts";
import type { ShardOutput } from "./shardOutput.ts";

/** Options of a {@link ClaimShardRunner}. */
export interface ClaimShardRunnerOptions {
    store: PlatformStore;
    clock: Clock;
    log: EventLog;
    grants: GrantLedger;
    shard: ClaimShard;
}

/** A claim that waits for its verdict, with the callbacks that settle its promise. */
interface Ticket {
    claim: Claim;
    resolve(verdict: ClaimVerdict): void;
    reject(error: InvariantError): void;
}

/** Runs one claim shard: makes its store calls, sets its timer and resolves its verdicts. */
export class ClaimShardRunner {
    private readonly options: ClaimShardRunnerOptions;
    /** By the number that identifies the claim in the shard's output. */
    private readonly tickets = new Map<number, Ticket>();
    private nextTicket = 0;
    private timer: TimerHandle | undefined;
    private isClosed = false;

    private constructor(options: ClaimShardRunnerOptions) {
        this.options = options;
    }

    /** Creates a runner that makes no store call before the first claim or {@link load}. */
    static create(options: ClaimShardRunnerOptions): ClaimShardRunner {
        return new ClaimShardRunner(options);
    }

    /** Starts reading the shard before its first claim arrives. */
    load(): void {
        this.dispatch((shard, time) => shard.load(time));
    }

    /** Starts reading the shard, or only from its tail if it was read before. */
    refresh(): void {
        this.dispatch((shard, time) => shard.refresh(time));
    }

    /** Claims a key. Rejects with an `InvariantError` if an internal check fails. */
    claim(claim: Claim): Promise<ClaimVerdict> {
        return new Promise((resolve, reject) => {
            const ticket = this.nextTicket++;
            this.tickets.set(ticket, { claim, resolve, reject });
            this.dispatch((shard, time) => shard.submit(ticket, claim, time));
        });
    }

    /** Stops the runner. Waiting claims resolve to not owner, so that the claimants ask the next owner. */
    close(): void {
        this.stop();
        for (const ticket of this.tickets.values()) {
            ticket.resolve({
                outcome: ClaimOutcome.NotOwner,
                message: "The claim shard is moving to another node. Ask its owner again.",
            });
        }
        this.tickets.clear();
    }

    /** Checks if the runner was closed or ended because of a failed check. */
    hasEnded(): boolean {
        return this.isClosed;
    }

    private stop(): void {
        this.isClosed = true;
        this.timer?.cancel();
    }

    private dispatch(event: (shard: ClaimShard, time: EventTime) => ShardOutput): void {
        if (this.isClosed) {
            return;
        }
        const { clock, shard } = this.options;
        try {
            this.apply(event(shard, { monotonic: clock.getMonotonicTime(), wall: clock.getWallTime() }));
        }
        catch (error) {
            this.fail(error);
        }
    }

    private apply(output: ShardOutput): void {
        for (const { event, fields } of output.logs) {
            this.options.log.write(event, fields);
        }
        for (const { ticket, verdict } of output.verdicts) {
            this.resolveTicket(ticket, verdict);
        }
        this.setTimer(output.wakeAt);
        if (output.call !== undefined) {
            void this.executeCall(output.call);
        }
    }

    private resolveTicket(ticketNumber: number, verdict: ClaimVerdict): void {
        const ticket = this.tickets.get(ticketNumber);
        if (ticket === undefined) {
            return;
        }
        if (verdict.outcome === ClaimOutcome.Granted) {
            const { key, claimant } = ticket.claim;
            this.options.grants.record(key, claimant, this.options.clock.getMonotonicTime());
        }
        this.tickets.delete(ticketNumber);
        ticket.resolve(verdict);
    }

    private setTimer(wakeAt: number | undefined): void {
        const { clock } = this.options;
        this.timer?.cancel();
        this.timer = wakeAt === undefined
            ? undefined
            : clock.setTimer(
                Math.max(0, wakeAt - clock.getMonotonicTime()),
                () => this.dispatch((shard, time) => shard.wake(time)),
            );
    }

    private async executeCall(call: ShardCall): Promise<void> {
        const { store } = this.options;
        if (call.kind === "read") {
            const page = await store.list(call.prefix, call.fromKey, call.limit);
            this.dispatch((shard, time) => shard.finishRead(page, time));
            return;
        }
        const outcome = await store.compareAndSwap(call.key, call.expectedRevision, call.value);
        this.dispatch((shard, time) => shard.finishSwap(outcome, time));
    }

    /** Rejects the shard's waiting claims if an invariant failed. Rethrows any other error. */
    private fail(error: unknown): void {
        if (!(error instanceof InvariantError)) {
            throw error;
        }
        this.stop();
        this.options.log.write(events.invariantViolated, { invariant: error.invariant, reason: error.message });
        for (const ticket of this.tickets.values()) {
            ticket.reject(error);
        }
        this.tickets.clear();
    }
}
