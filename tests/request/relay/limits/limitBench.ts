import { EndpointLimits } from "../../../../src/request/relay/limits/endpointLimits.ts";
import { createSeededRandom } from "../../../support/createSeededRandom.ts";
import { VirtualClock } from "../../../support/virtualClock.ts";
import { createEndpoint } from "../relayModel.ts";

/** Options of a {@link LimitBench}. */
interface LimitBenchOptions {
    seed: number;
    nodes: number;
    /** Requests per second for the service that arrive at all nodes together. */
    requestsPerSecond: number;
    /** Gets the fraction of them that would be sent to the endpoint at a time in milliseconds. */
    getDemandFraction(now: number): number;
    /** Gets the limit that the endpoint states at a time in milliseconds; undefined if it states none. */
    getLimit(now: number): number | undefined;
    /** Fraction of the demand that arrives at the first node; the others have equal shares. Default: an equal share. */
    firstNodeShare?: number;
}

const answerMilliseconds = 70;
const exchangeIntervalMilliseconds = 400;
const networkDelayMilliseconds = 3;
const stepMilliseconds = 10;
const secondMilliseconds = 1_000;
const windowMilliseconds = 4_000;
const endpoint = createEndpoint("limited", { kind: "middle" });

/** Simulates nodes that share the limit of an endpoint, with random requests and periodic exchanges in virtual time. */
export class LimitBench {
    /** Times at which requests arrived at the endpoint, in milliseconds. */
    readonly arrivals: number[] = [];
    readonly clock = VirtualClock.create();
    private readonly options: LimitBenchOptions;
    private readonly random: () => number;
    private readonly nodes: EndpointLimits[] = [];

    private constructor(options: LimitBenchOptions) {
        this.options = options;
        this.random = createSeededRandom(options.seed);
        for (let index = 0; index < options.nodes; index++) {
            this.nodes.push(this.createNode(index));
            this.clock.setTimer(this.random() * exchangeIntervalMilliseconds, () => this.exchange(index));
        }
        this.clock.setTimer(stepMilliseconds, () => this.step());
    }

    /** Creates nodes without known limits. */
    static create(options: LimitBenchOptions): LimitBench {
        return new LimitBench(options);
    }

    /** Runs until a time in milliseconds. */
    runUntil(time: number): void {
        this.clock.runTimersUntil(time);
    }

    /** Restarts a node, so that it loses its state. */
    restart(index: number): void {
        this.nodes[index] = this.createNode(index);
    }

    /** Gets the maximum number of requests in any window between two times. */
    getMaximumRequests(from: number, to: number): number {
        const times = this.arrivals.filter(time => time >= from && time < to);
        let most = 0;
        let first = 0;
        for (const [index, time] of times.entries()) {
            while (times[first]! <= time - windowMilliseconds) {
                first += 1;
            }
            most = Math.max(most, index - first + 1);
        }
        return most;
    }

    /** Gets the mean requests per second between two times. */
    getRate(from: number, to: number): number {
        return this.arrivals.filter(time => time >= from && time < to).length * secondMilliseconds / (to - from);
    }

    private createNode(index: number): EndpointLimits {
        const { nodes } = this.options;
        return EndpointLimits.create({
            log: { write: () => undefined },
            random: this.random,
            chooseSharers: (_endpointId, most) =>
                most >= nodes
                    ? { count: nodes, includesAllNodes: true, includesThisNode: true }
                    : { count: most, includesAllNodes: false, includesThisNode: index < most },
        });
    }

    private step(): void {
        const now = this.clock.getMonotonicTime();
        const { requestsPerSecond, nodes, firstNodeShare = 1 / nodes } = this.options;
        const inStep = requestsPerSecond * stepMilliseconds / secondMilliseconds;
        for (let left = inStep; left > 0; left -= 1) {
            if (this.random() < left) {
                const isFirst = this.random() < firstNodeShare;
                this.send(isFirst ? 0 : 1 + Math.floor(this.random() * (nodes - 1)), now);
            }
        }
        this.clock.setTimer(stepMilliseconds, () => this.step());
    }

    private send(index: number, now: number): void {
        const limits = this.nodes[index]!;
        limits.noteRequest(endpoint.service, now);
        if (this.random() < this.options.getDemandFraction(now) && limits.take(endpoint, now)) {
            this.arrivals.push(now);
            const limit = this.options.getLimit(now);
            this.clock.setTimer(
                answerMilliseconds,
                () => limits.noteAnswer(endpoint.id, limit, now + answerMilliseconds),
            );
        }
    }

    private exchange(index: number): void {
        const other = Math.floor(this.random() * this.options.nodes);
        if (other !== index) {
            this.sendReports(index, other);
            this.sendReports(other, index);
        }
        this.clock.setTimer(exchangeIntervalMilliseconds * (0.8 + 0.4 * this.random()), () => this.exchange(index));
    }

    private sendReports(from: number, to: number): void {
        const sentAt = this.clock.getMonotonicTime();
        const reports = this.nodes[from]!.listReports(sentAt);
        this.clock.setTimer(networkDelayMilliseconds, () => {
            const now = this.clock.getMonotonicTime();
            const received = reports.map(report => ({ ...report, at: report.at + now - sentAt }));
            this.nodes[to]!.applyReports(`node-${from}`, received, now);
        });
    }
}
