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

/** What a {@link ClaimShardRunner} works with. */
export interface ClaimShardRunnerOptions {
    store: PlatformStore;
    clock: Clock;
    log: EventLog;
    grants: GrantLedger;
    shard: ClaimShard;
}

interface Ticket {
    claim: Claim;
    resolve(verdict: ClaimVerdict): void;
    reject(error: InvariantError): void;
}

/** Runs one claim shard: makes its calls, sets its timer and hands out its verdicts. */
export class ClaimShardRunner {
    private readonly options: ClaimShardRunnerOptions;
    private readonly tickets = new Map<number, Ticket>();
    private nextTicket = 0;
    private timer: TimerHandle | undefined;
    private isClosed = false;

    private constructor(options: ClaimShardRunnerOptions) {
        this.options = options;
    }

    /** Creates a runner; it calls nothing before the first claim or {@link load}. */
    static create(options: ClaimShardRunnerOptions): ClaimShardRunner {
        return new ClaimShardRunner(options);
    }

    /** Reads the shard ahead of its first claim. */
    load(): void {
        this.handle((shard, time) => shard.load(time));
    }

    /** Reads the shard, or reads on from its tail where it was read before. */
    refresh(): void {
        this.handle((shard, time) => shard.refresh(time));
    }

    /** Claims a key. Rejects with an `InvariantError` where a check of this program failed. */
    claim(claim: Claim): Promise<ClaimVerdict> {
        return new Promise((resolve, reject) => {
            const ticket = this.nextTicket++;
            this.tickets.set(ticket, { claim, resolve, reject });
            this.handle((shard, time) => shard.submit(ticket, claim, time));
        });
    }

    /** Stops. Waiting claims are answered as not owned here: the claimants ask the next owner. */
    close(): void {
        this.stop();
        for (const ticket of this.tickets.values()) {
            ticket.resolve({
                outcome: ClaimOutcome.NotOwner,
                message: "The claim shard moves to another node. Ask its owner again.",
            });
        }
        this.tickets.clear();
    }

    /** Whether it was closed, or ended because a check failed. */
    hasEnded(): boolean {
        return this.isClosed;
    }

    private stop(): void {
        this.isClosed = true;
        this.timer?.cancel();
    }

    private handle(event: (shard: ClaimShard, time: EventTime) => ShardOutput): void {
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
            this.answer(ticket, verdict);
        }
        this.setTimer(output.wakeAt);
        if (output.call !== undefined) {
            void this.run(output.call);
        }
    }

    private answer(number: number, verdict: ClaimVerdict): void {
        const ticket = this.tickets.get(number);
        if (ticket === undefined) {
            return;
        }
        if (verdict.outcome === ClaimOutcome.Granted) {
            const { key, claimant } = ticket.claim;
            this.options.grants.record(key, claimant, this.options.clock.getMonotonicTime());
        }
        this.tickets.delete(number);
        ticket.resolve(verdict);
    }

    private setTimer(wakeAt: number | undefined): void {
        const { clock } = this.options;
        this.timer?.cancel();
        this.timer = wakeAt === undefined
            ? undefined
            : clock.setTimer(
                Math.max(0, wakeAt - clock.getMonotonicTime()),
                () => this.handle((shard, time) => shard.wake(time)),
            );
    }

    private async run(call: ShardCall): Promise<void> {
        const { store } = this.options;
        if (call.kind === "read") {
            const page = await store.list(call.prefix, call.fromKey, call.limit);
            this.handle((shard, time) => shard.finishRead(page, time));
            return;
        }
        const outcome = await store.compareAndSwap(call.key, call.expectedRevision, call.value);
        this.handle((shard, time) => shard.finishSwap(outcome, time));
    }

    /** Ends the shard's requests where a check failed; any other error is passed on. */
    private fail(error: unknown): void {
        if (!(error instanceof InvariantError)) {
            throw error;
        }
        this.stop();
        this.options.log.write(events.invariantBroken, { invariant: error.invariant, reason: error.message });
        for (const ticket of this.tickets.values()) {
            ticket.reject(error);
        }
        this.tickets.clear();
    }
}
