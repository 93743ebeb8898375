import { setTimeout as sleep } from "node:timers/promises";
import type { FaultKind } from "./faultKind.ts";
import type { FaultTimeline } from "./faultTimeline.ts";
import type { SeededRandom } from "./seededRandom.ts";

/** Options of a {@link FaultLoop}. */
interface FaultLoopOptions<Context> {
    context: Context;
    /** All kinds, by name. */
    allKinds: Readonly<Record<string, FaultKind<Context>>>;
    /** Unlimited if undefined. */
    maximumFaults?: number;
    /** Names of the kinds to choose from; all if undefined. */
    kinds?: readonly string[];
    print(line: string): void;
}

const pairShare = 0.4;
const pauseRangeMilliseconds = [200, 1_500] as const;
const maximumStaggerMilliseconds = 800;

/** Injects seeded faults, one or two at a time beside those in the background, and reverts each after its duration. */
export class FaultLoop<Context extends { random: SeededRandom; timeline: FaultTimeline; }> {
    private readonly options: FaultLoopOptions<Context>;
    private readonly kinds: readonly string[];
    private readonly inBackground: Promise<void>[] = [];
    private count = 0;
    private isStopped = false;

    private constructor(options: FaultLoopOptions<Context>) {
        this.options = options;
        this.kinds = repeatByWeight(options.allKinds, options.kinds ?? Object.keys(options.allKinds));
    }

    /** Creates a loop that is idle until {@link FaultLoop.runWithLoad} is called. */
    static create<Context extends { random: SeededRandom; timeline: FaultTimeline; }>(
        options: FaultLoopOptions<Context>,
    ): FaultLoop<Context> {
        return new FaultLoop(options);
    }

    /** Injects faults until the loop is stopped or the maximum is reached; all are reverted once it resolves. */
    private async run(): Promise<void> {
        const { context: { random }, maximumFaults = Infinity } = this.options;
        while (!this.isStopped && this.count < maximumFaults) {
            await sleep(random.chooseInteger(...pauseRangeMilliseconds));
            const isPair = random.isHit(pairShare);
            const active = [this.injectOne(0)];
            if (isPair) {
                active.push(this.injectOne(random.chooseInteger(0, maximumStaggerMilliseconds)));
            }
            await Promise.all(active);
        }
        await Promise.all(this.inBackground);
    }

    /**
     * Injects faults while a load runs, until the load ends.
     * @param load - The load.
     * @param milliseconds - Time after which the load is stopped.
     */
    async runWithLoad(load: { run(): Promise<void>; stop(): void; }, milliseconds: number): Promise<void> {
        const timer = setTimeout(() => load.stop(), milliseconds);
        const running = load.run().finally(() => {
            this.isStopped = true;
        });
        await Promise.all([running, this.run()]);
        clearTimeout(timer);
    }

    private async injectOne(delayMilliseconds: number): Promise<void> {
        const { context, allKinds, print } = this.options;
        const { random, timeline } = context;
        const kind = random.choose(this.kinds)!;
        const { durationMilliseconds: durationRange, isInBackground = false, prepare } = allKinds[kind]!;
        const durationMilliseconds = random.chooseInteger(...durationRange);
        this.count += 1;
        await sleep(delayMilliseconds);
        const fault = prepare(context);
        if (fault === undefined) {
            return;
        }
        print(`${kind} at ${fault.target} for ${durationMilliseconds} ms`);
        const hold = async () => {
            const entry = timeline.start(kind, fault.target);
            await fault.inject();
            await sleep(durationMilliseconds);
            await fault.revert();
            timeline.end(entry);
        };
        if (isInBackground) {
            this.inBackground.push(hold());
        }
        else {
            await hold();
        }
    }
}

function repeatByWeight(allKinds: Readonly<Record<string, { weight: number; }>>, kinds: readonly string[]): string[] {
    return kinds.flatMap(kind => new Array<string>(allKinds[kind]?.weight ?? 0).fill(kind));
}
