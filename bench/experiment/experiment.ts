import type { RandomSource } from "../../src/process/randomSource.ts";
import { choosePartners } from "../../src/process/router/choosePartners.ts";
import type { AnswerSink } from "../../src/request/relay/answers/answerSink.ts";
import { StreamRelay } from "../../src/request/relay/streams/streamRelay.ts";
import { RequestKind } from "../../src/version/routing/requestKind.ts";
import type { Route } from "../../src/version/routing/route.ts";
import { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
import { VirtualClock } from "../../tests/support/virtualClock.ts";
import { createEngines } from "./createEngines.ts";
import { createRequest } from "./createRequest.ts";
import { experimentModel } from "./experimentModel.ts";
import type { ExperimentResult, ExperimentWindow, RankResult } from "./experimentResult.ts";
import { experimentServiceName } from "./experimentServiceName.ts";
import type { ExperimentSettings } from "./experimentSettings.ts";
import type { Mechanism } from "./mechanism.ts";
import { type CallerOutcome, SimulatedCaller } from "./simulatedCaller.ts";
import type { SimulatedEngine } from "./simulatedEngine.ts";
import { SimulatedEngines } from "./simulatedEngines.ts";
import { SimulatedNode } from "./simulatedNode.ts";
import type { SimulatedRequest } from "./simulatedRequest.ts";

/** Options for running an experiment. */
interface RunOptions {
    settings: ExperimentSettings;
    seed: number;
    without?: ReadonlySet<Mechanism>;
}

const secondMilliseconds = 1_000;
const windowSeconds = 2;
const gossipRoundMilliseconds = 300;
const largeGossipRoundMilliseconds = 450;
const pollIntervalMilliseconds = 2_500;
const hubsPerDataCentre = 2;
/** Number of nodes that watch the store. */
const watcherCount = 3;
const afterBurstMilliseconds = 4_000;
/** Time after the last arrivals in which running requests can finish. */
const drainMilliseconds = 25_000;

const route: Route = {
    name: "r",
    host: "h",
    prefix: "/",
    kind: RequestKind.Stream,
    services: [{ service: experimentServiceName, weight: 1 }],
    timeoutMilliseconds: 20_000,
    targetLatencyMilliseconds: 500,
    maximumEventGapMilliseconds: 200,
    maximumAttempts: 2,
    priority: 1,
    isPublic: true,
    isResumable: true,
};

/** Simulates a load on nodes and engines in virtual time. The same seed gives the same result. */
export class Experiment {
    private readonly settings: ExperimentSettings;
    private readonly random: RandomSource;
    private readonly clock = VirtualClock.create();
    private readonly engines: SimulatedEngine[];
    private readonly simulation: SimulatedEngines;
    private readonly nodes: SimulatedNode[];
    private readonly outcomes: { request: SimulatedRequest; outcome: CallerOutcome; }[] = [];
    private readonly seed: number;
    private requestCount = 0;

    private constructor({ settings, seed, without = new Set() }: RunOptions) {
        this.settings = settings;
        this.seed = seed;
        this.random = createSeededRandom(seed);
        this.engines = createEngines(settings);
        this.simulation = SimulatedEngines.create(this.clock, this.engines);
        this.nodes = Array.from({ length: settings.nodes }, (_, index) =>
            SimulatedNode.create({
                index,
                nodeCount: settings.nodes,
                dataCentre: `${index % settings.dataCentres}`,
                clock: this.clock,
                random: createSeededRandom(seed * settings.nodes + index + 1),
                simulation: this.simulation,
                engines: this.engines,
                without,
            }));
    }

    /** Runs an experiment. */
    static run(options: RunOptions): ExperimentResult {
        const experiment = new Experiment(options);
        experiment.simulate();
        return experiment.summarize();
    }

    private simulate(): void {
        const end = this.settings.durationSeconds * secondMilliseconds;
        this.scheduleFaults();
        for (const [index, node] of this.nodes.entries()) {
            this.scheduleGossip(node, 0);
            if (this.settings.pollsEndpoints) {
                this.schedulePolls(node, index);
            }
        }
        this.scheduleArrival();
        this.clock.runTimersUntil(end + drainMilliseconds);
    }

    private scheduleArrival(): void {
        const { arrivalsPerSecond, durationSeconds } = this.settings;
        const rate = arrivalsPerSecond * this.getMeanArrivalFactor();
        const gap = -Math.log(1 - this.random()) / rate * secondMilliseconds;
        this.clock.setTimer(gap, () => {
            if (this.clock.getMonotonicTime() > durationSeconds * secondMilliseconds) {
                return;
            }
            this.requestCount += 1;
            const getFactor = (rank: number) => this.getArrivalFactor(rank);
            const request = createRequest(this.settings, `request-${this.requestCount}`, this.random, getFactor);
            SimulatedCaller.start({
                clock: this.clock,
                random: this.random,
                request,
                send: (...parameters) => this.send(...parameters),
                onDone: outcome => this.outcomes.push({ request, outcome }),
            });
            this.scheduleArrival();
        });
    }

    private getMeanArrivalFactor(): number {
        const { routes } = this.settings;
        if (routes.length === 0) {
            return this.getArrivalFactor();
        }
        return routes.reduce((sum, { rank, share }) => sum + share * this.getArrivalFactor(rank), 0);
    }

    private getArrivalFactor(rank?: number): number {
        const now = this.clock.getMonotonicTime() / secondMilliseconds;
        let factor = 1;
        for (const burst of this.settings.bursts) {
            if (now >= burst.from && now < burst.to && (burst.rank === undefined || burst.rank === rank)) {
                factor *= burst.factor;
            }
        }
        return factor;
    }

    private send(request: SimulatedRequest, attempt: number, deadlineMilliseconds: number, sink: AnswerSink): void {
        const { environment } = this.nodes[Math.floor(this.random() * this.nodes.length)]!;
        const now = this.clock.getMonotonicTime();
        const isReturn = environment.retryDetector.observeRequest(route.name, deadlineMilliseconds, now);
        const { targetLatencyMilliseconds, rank } = request;
        const { routes, linkMegabitsPerSecond = experimentModel.linkMegabitsPerSecond } = this.settings;
        const engine = { ...experimentModel, linkMegabitsPerSecond };
        const task = {
            request: {
                id: `${request.id}-${attempt}`,
                method: "POST",
                host: "h",
                target: String(request.events),
                headers: [],
                body: Buffer.alloc(0),
                apiKey: undefined,
                arrivedAt: now,
                deadlineMilliseconds,
                lastEventId: 0,
                promptTokens: request.promptTokens,
                maximumAnswerTokens: 3 * experimentModel.typicalAnswerTokens,
                expectedAnswerTokens: request.expectedAnswerTokens,
                promptParts: [],
            },
            route: { ...route, targetLatencyMilliseconds },
            service: { name: experimentServiceName, maximumConnections: 1_000, engine },
            customer: request.customer,
            fingerprint: request.id,
            partKeys: [],
            sink,
            rank,
            ranks: routes.length === 0 ? [rank] : [...new Set(routes.map(known => known.rank))].sort(),
            takenUpLateMilliseconds: 0,
            isReturn,
            dueAt: now + deadlineMilliseconds,
        };
        environment.retryBudget.observeRequest();
        StreamRelay.create(environment, task, engine, () => undefined).start();
    }

    private scheduleGossip(node: SimulatedNode, round: number): void {
        const { hasHubs } = this.settings;
        const interval = hasHubs ? largeGossipRoundMilliseconds : gossipRoundMilliseconds;
        this.clock.setTimer(interval * (0.8 + 0.4 * this.random()), () => {
            const others = this.nodes.filter(other => other !== node);
            const hubs = hasHubs ? this.listHubs(node) : [];
            const partners = choosePartners({
                nodeId: node.nodeId,
                dataCentre: node.dataCentre,
                nodes: others.map(({ nodeId, dataCentre }) => ({
                    nodeId,
                    dataCentre,
                    address: nodeId,
                    isWithoutStore: false,
                    heardAt: 0,
                })),
                sources: hubs.filter(id => id !== node.nodeId),
                isDistributor: hubs.includes(node.nodeId),
                isProofDue: false,
                round: hasHubs ? round : 1,
                isBusy: node.isBusy(),
                random: this.random,
            });
            for (const other of others.filter(({ nodeId }) => partners.has(nodeId))) {
                node.exchangeWith(other, this.clock.getMonotonicTime());
            }
            this.scheduleGossip(node, round + 1);
        });
    }

    /** Lists the nodes from which a node gets store updates: the first ones of its data centre, or of all for such a node itself. */
    private listHubs(node: SimulatedNode): string[] {
        const local = this.nodes.filter(({ dataCentre }) => dataCentre === node.dataCentre);
        const hubs = local.slice(0, hubsPerDataCentre).map(({ nodeId }) => nodeId);
        return hubs.includes(node.nodeId) ? this.nodes.slice(0, watcherCount).map(({ nodeId }) => nodeId) : hubs;
    }

    private schedulePolls(node: SimulatedNode, index: number): void {
        this.clock.setTimer(pollIntervalMilliseconds * this.random(), () => this.poll(node, index));
    }

    private poll(node: SimulatedNode, index: number): void {
        for (const [position, engine] of this.engines.entries()) {
            if (position % this.nodes.length === index) {
                node.readEngine(engine);
            }
        }
        this.clock.setTimer(pollIntervalMilliseconds, () => this.poll(node, index));
    }

    private scheduleFaults(): void {
        for (const { kind, from, to, share, every, factor, nodeShare } of this.settings.faults) {
            const affectedEngines = this.engines.filter((_, index) =>
                every === undefined ? this.random() < share : index % every === 0
            );
            const disconnectedNodes = new Set([...this.nodes.keys()].filter(() => this.random() < nodeShare));
            this.clock.setTimer(from * secondMilliseconds, () => {
                for (const engine of affectedEngines) {
                    engine.isLeaving = kind === "leaving";
                    engine.slowness = kind === "slow" ? factor : 1;
                    engine.disconnectedNodes = kind === "cut" ? disconnectedNodes : new Set();
                    if (kind === "lost") {
                        this.simulation.loseEngine(engine);
                    }
                }
            });
            this.clock.setTimer(to * secondMilliseconds, () => {
                for (const engine of affectedEngines) {
                    engine.isLeaving = false;
                    engine.slowness = 1;
                    engine.disconnectedNodes = new Set();
                    engine.isLost = false;
                }
            });
        }
    }

    private summarize(): ExperimentResult {
        const windows: ExperimentWindow[] = [];
        for (let from = 0; from < this.settings.durationSeconds; from += windowSeconds) {
            windows.push({ from, asked: 0, inAim: 0, late: 0, refused: 0, failed: 0, firstEvents: [] });
        }
        const retried = this.outcomes.filter(({ outcome }) => outcome.wasRefused);
        for (const { outcome } of this.outcomes) {
            const window = windows[Math.floor(outcome.sentAt / secondMilliseconds / windowSeconds)];
            if (window === undefined) {
                continue;
            }
            window.asked += 1;
            window[outcome.kind] += 1;
            if (outcome.firstEventMilliseconds !== undefined) {
                window.firstEvents.push(outcome.firstEventMilliseconds);
            }
        }
        return {
            seed: this.seed,
            windows,
            ranks: this.summarizeRanks(),
            sent: this.simulation.counts.sent,
            refusedByEngines: this.simulation.counts.refused,
            preempted: this.simulation.counts.preempted,
            returned: retried.length,
            servedReturns: retried.filter(({ outcome }) => outcome.kind === "late" || outcome.kind === "inAim").length,
            customerShortfall: this.getCustomerShortfall(),
        };
    }

    private summarizeRanks(): RankResult[] {
        const { bursts, routes } = this.settings;
        const from = Math.min(...bursts.map(burst => burst.from)) * secondMilliseconds;
        const to = Math.max(...bursts.map(burst => burst.to)) * secondMilliseconds + afterBurstMilliseconds;
        return routes.map(({ rank, worth: [onTime, late] }) => {
            const result = { rank, asked: 0, inAim: 0, late: 0, refused: 0, failed: 0, worthShare: 0 };
            for (const { request, outcome } of this.outcomes) {
                if (request.rank === rank && outcome.sentAt >= from && outcome.sentAt < to) {
                    result.asked += 1;
                    result[outcome.kind] += 1;
                }
            }
            result.worthShare = (result.inAim + result.late * late / onTime) / result.asked;
            return result;
        });
    }

    private getCustomerShortfall(): number {
        const asked = new Map<string, number>();
        const served = new Map<string, number>();
        for (const { request: { customer }, outcome } of this.outcomes) {
            asked.set(customer, (asked.get(customer) ?? 0) + 1);
            served.set(customer, (served.get(customer) ?? 0) + (outcome.kind === "inAim" ? 1 : 0));
        }
        const servedFraction = this.outcomes.filter(({ outcome }) => outcome.kind === "inAim").length
            / this.outcomes.length;
        const customerFractions = [...asked].map(([customer, count]) => served.get(customer)! / count);
        return Math.max(0, ...customerFractions.map(fraction => servedFraction - fraction));
    }
}
