import { EndpointDirectory } from "../../src/connection/endpoint/endpointDirectory.ts";
import { EndpointObserver } from "../../src/connection/endpoint/endpointObserver.ts";
import { EndpointInstructions } from "../../src/connection/instructions/endpointInstructions.ts";
import { systemClock } from "../../src/process/systemClock.ts";
import { EstimatedTimeChooser } from "../../src/request/chain/estimatedTimeChooser.ts";
import type { GenerationObserver } from "../../src/request/model/generationObserver.ts";
import { runGeneration } from "../../src/request/model/runGeneration.ts";
import { NotRunPermit } from "../../src/request/notRunPermit.ts";
import { createSeededRandom } from "../../tests/support/createSeededRandom.ts";
import type { EngineFleet } from "./engineFleet.ts";
import type { Router, RouterCounts, RouterRequest } from "./router.ts";

const dataCentre = "centre-a";
const observeIntervalMilliseconds = 500;

/** Runs a node's code for model requests without callers, peers and a platform. */
export class FoxleadRouter implements Router {
    readonly counts: RouterCounts = { brokenAttempts: new Map(), replacedConnections: 0 };
    private readonly fleet: EngineFleet;
    private readonly chooser: EstimatedTimeChooser;
    private readonly directory: EndpointDirectory;
    private readonly endpointObserver: EndpointObserver;
    private readonly stopSignal = new AbortController().signal;

    private constructor(fleet: EngineFleet, seed: number) {
        this.fleet = fleet;
        const configuration = fleet.createConfiguration();
        const random = createSeededRandom(seed);
        this.directory = this.createDirectory();
        this.directory.update(configuration);
        this.chooser = EstimatedTimeChooser.create({
            getConfiguration: () => configuration,
            getEndpointState: endpoint => this.directory.getState(endpoint),
            clock: systemClock,
            random,
        });
        this.endpointObserver = EndpointObserver.create({
            nodeId: "bench",
            directory: this.directory,
            clock: systemClock,
            random,
            intervalMilliseconds: observeIntervalMilliseconds,
            getIntervalFactor: () => 1,
            isObserver: () => true,
            onStatus: (endpoint, status) =>
                this.chooser.observeLoad({ ...status, endpoint, ageMilliseconds: status.loadAgeMilliseconds }),
            onReport: () => undefined,
        });
        this.endpointObserver.start();
    }

    /** Creates a router over the engines. */
    static create(fleet: EngineFleet, seed: number): FoxleadRouter {
        return new FoxleadRouter(fleet, seed);
    }

    /** Generates an answer and returns whether it is complete. */
    async generate(request: RouterRequest): Promise<boolean> {
        const result = await runGeneration({
            request: request.id,
            model: this.fleet.model,
            layers: this.fleet.layers,
            prompt: request.prompt,
            maximumTokens: request.maximumTokens,
            priority: 0,
            dataCentre,
            permit: NotRunPermit.create(),
            signal: request.signal,
            stopSignal: this.stopSignal,
            chooser: this.chooser,
            clock: systemClock,
            observer: this.createObserver(),
            getConnection: endpoint => this.directory.getEngine(endpoint),
            getPauseMilliseconds: () => undefined,
            onChainChosen: chain => request.onChain(chain),
            onText: text => request.onText(text),
        });
        return result.ok;
    }

    /** Closes all connections. */
    async close(): Promise<void> {
        this.endpointObserver.stop();
        await this.directory.close();
    }

    private createDirectory(): EndpointDirectory {
        return EndpointDirectory.create({
            clock: systemClock,
            instructions: EndpointInstructions.create({ clock: systemClock, log: { write: () => undefined } }),
            onAnswered: (endpoint, pass, result, elapsedMilliseconds) => {
                this.directory.observeAnswer(endpoint);
                const layers = pass.layerEnd - pass.layerStart;
                const { count: positions, queue } = result;
                this.chooser.observePass({ endpoint, layers, positions, elapsedMilliseconds, queue });
            },
            onSilentConnection: () => {
                this.counts.replacedConnections += 1;
            },
            onStateChanged: () => undefined,
        });
    }

    private createObserver(): GenerationObserver {
        return {
            onPassSent: () => () => undefined,
            onRefusalsEnded: () => undefined,
            onMemoryConflict: () => undefined,
            onAttemptFailed: failure => {
                const cause = `${failure.kind}: ${failure.reason}`;
                this.counts.brokenAttempts.set(cause, (this.counts.brokenAttempts.get(cause) ?? 0) + 1);
                if (failure.kind === "unreachable" || failure.kind === "notSent") {
                    this.directory.observeUnreachable(failure.endpoint);
                }
            },
            onRecovered: () => undefined,
            onContextRebuilt: () => undefined,
            onStaleResult: () => undefined,
        };
    }
}
