import type { RandomSource } from "../../src/process/randomSource.ts";
import type { Chain, ChainStage } from "../../src/request/chain/chain.ts";
import type { ChainChooser } from "../../src/request/chain/chainChooser.ts";
import { LinkTable } from "../../src/request/chain/linkTable.ts";
import { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
import { VirtualClock } from "../../tests/support/virtualClock.ts";
import { EngineStandin } from "./engineStandin.ts";
import type { Fleet } from "./fleet.ts";
import { LinkStandin } from "./linkStandin.ts";
import type { Policy } from "./policy.ts";
import { TokenRecorder } from "./tokenRecorder.ts";

/** Size of one token on a link. */
const bytesPerToken = 4;
const reportIntervalMilliseconds = 200;
/** Data centre of each node. The nodes decide independently. */
const nodeDataCentres = ["a", "b", "c", "a", "b", "c"] as const;
/** Period over which the requests of a run at saturation start. */
const rampUpMilliseconds = 40_000;

/** Options for a run of a policy. */
export interface LoadDriverOptions {
    fleet: Fleet;
    policy: Policy;
    seed: number;
    /** Lag of the load reports, in milliseconds. */
    lagMilliseconds: number;
    /** Rate of Poisson arrivals, in requests per second; 0 to keep a fixed number of requests running. */
    requestsPerSecond: number;
    /** Number of requests to keep running if there are no Poisson arrivals. */
    runningRequests: number;
    warmupMilliseconds: number;
    measuredMilliseconds: number;
}

interface Node {
    dataCentre: string;
    chooser: ChainChooser;
}

interface Sequence {
    node: Node;
    chain: Chain;
    arrival: number;
    lastToken: number;
    tokensLeft: number;
}

/** Drives the choosers of several nodes with generated requests to stand-in engines, in virtual time. */
export class LoadDriver {
    private readonly options: LoadDriverOptions;
    private readonly clock = VirtualClock.create();
    private readonly random: RandomSource;
    private readonly engines = new Map<string, EngineStandin>();
    private readonly links: LinkStandin;
    private readonly nodes: readonly Node[];
    private readonly recorder: TokenRecorder;
    private nextNode = 0;

    private constructor(options: LoadDriverOptions) {
        this.options = options;
        this.recorder = TokenRecorder.create(options.warmupMilliseconds);
        this.random = createSeededRandom(options.seed);
        const { configuration, speeds, states } = options.fleet;
        this.links = LinkStandin.create(this.clock, LinkTable.create(configuration));
        for (const [name, speed] of speeds) {
            const layers = configuration.endpoints[name]?.layers.reduce((sum, { end, start }) => sum + end - start, 0);
            this.engines.set(name, EngineStandin.create(this.clock, speed, layers ?? 0));
        }
        this.nodes = nodeDataCentres.map((dataCentre, index) => ({
            dataCentre,
            chooser: options.policy.createChooser({
                getConfiguration: () => configuration,
                getEndpointState: name => states.get(name),
                clock: this.clock,
                random: createSeededRandom(options.seed * 1_000 + index + 1),
            }, options.fleet),
        }));
    }

    /** Runs a load and returns its throughput and latencies. */
    static run(options: LoadDriverOptions): ReturnType<TokenRecorder["getResult"]> {
        const driver = new LoadDriver(options);
        driver.start();
        driver.clock.runTimersUntil(options.warmupMilliseconds + options.measuredMilliseconds);
        return driver.recorder.getResult(options.measuredMilliseconds / 1_000);
    }

    private start(): void {
        this.clock.setTimer(0, () => this.reportLoads());
        if (this.options.requestsPerSecond > 0) {
            this.scheduleArrival();
            return;
        }
        for (let index = 0; index < this.options.runningRequests; index++) {
            this.clock.setTimer(this.random() * rampUpMilliseconds, () => this.startSequence());
        }
    }

    private scheduleArrival(): void {
        const delay = -Math.log(1 - this.random()) * 1_000 / this.options.requestsPerSecond;
        this.clock.setTimer(delay, () => {
            this.startSequence();
            this.scheduleArrival();
        });
    }

    private startSequence(): void {
        const node = this.nodes[this.nextNode++ % this.nodes.length] as Node;
        const positions = 8 + Math.floor(this.random() * 33);
        const tokensLeft = 24 + Math.floor(this.random() * 33);
        const chain = node.chooser.chooseChain({
            model: `model${Math.floor(this.random() * Object.keys(this.options.fleet.configuration.models).length)}`,
            dataCentre: node.dataCentre,
            positions,
            excluded: new Set(),
            preferred: new Set(),
        }).unwrap();
        node.chooser.reserveChain(chain);
        this.updateSequences(chain, 1);
        const now = this.clock.getMonotonicTime();
        this.runStage({ node, chain, arrival: now, lastToken: -1, tokensLeft }, 0, positions);
    }

    private runStage(sequence: Sequence, index: number, positions: number): void {
        const stage = sequence.chain.stages[index] as ChainStage;
        const { hiddenBytes } = Object.values(this.options.fleet.configuration.models)[0] ?? { hiddenBytes: 0 };
        const nodeDataCentre = sequence.node.dataCentre;
        const engineDataCentre = this.options.fleet.configuration.endpoints[stage.endpoint]?.dataCentre
            ?? nodeDataCentre;
        const isLast = index === sequence.chain.stages.length - 1;
        const layers = stage.layerEnd - stage.layerStart;
        const sentAt = this.clock.getMonotonicTime();
        const finish = (queue: number) => {
            this.links.send(engineDataCentre, nodeDataCentre, isLast ? bytesPerToken : positions * hiddenBytes, () => {
                sequence.node.chooser.observePass({
                    endpoint: stage.endpoint,
                    layers,
                    positions,
                    elapsedMilliseconds: this.clock.getMonotonicTime() - sentAt,
                    queue,
                });
                if (isLast) {
                    this.acceptToken(sequence, positions);
                }
                else {
                    this.runStage(sequence, index + 1, positions);
                }
            });
        };
        this.links.send(
            nodeDataCentre,
            engineDataCentre,
            positions * (index === 0 ? bytesPerToken : hiddenBytes),
            () => {
                this.engines.get(stage.endpoint)?.addPass({
                    positions,
                    layerStart: stage.layerStart,
                    layerEnd: stage.layerEnd,
                    finish,
                });
            },
        );
    }

    private acceptToken(sequence: Sequence, positions: number): void {
        const now = this.clock.getMonotonicTime();
        const isFirst = sequence.lastToken < 0;
        this.recorder.record(now, now - (isFirst ? sequence.arrival : sequence.lastToken), positions, isFirst);
        sequence.lastToken = now;
        sequence.tokensLeft--;
        if (sequence.tokensLeft > 0) {
            this.runStage(sequence, 0, 1);
            return;
        }
        sequence.node.chooser.releaseChain(sequence.chain);
        this.updateSequences(sequence.chain, -1);
        if (this.options.requestsPerSecond === 0) {
            this.startSequence();
        }
    }

    private updateSequences(chain: Chain, change: number): void {
        for (const stage of chain.stages) {
            const engine = this.engines.get(stage.endpoint);
            if (engine !== undefined) {
                engine.sequences += change;
            }
        }
    }

    /** Samples the loads of all engines and reports them to the nodes after the lag. */
    private reportLoads(): void {
        const ageMilliseconds = this.options.lagMilliseconds;
        const reports = [...this.engines].map(([endpoint, { queue, sequences }]) => ({
            endpoint,
            queue,
            sequences,
            freePositions: 1_000_000,
            ageMilliseconds,
        }));
        this.clock.setTimer(ageMilliseconds, () => {
            for (const { chooser } of this.nodes) {
                for (const report of reports) {
                    chooser.observeLoad(report);
                }
            }
        });
        this.clock.setTimer(reportIntervalMilliseconds, () => this.reportLoads());
    }
}
