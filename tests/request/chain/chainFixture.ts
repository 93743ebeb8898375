import type { EndpointState } from "../../../src/connection/endpoint/endpointState.ts";
import type { Clock } from "../../../src/process/clock.ts";
import type { ChooseChainOptions } from "../../../src/request/chain/chainChooser.ts";
import { EstimatedTimeChooser } from "../../../src/request/chain/estimatedTimeChooser.ts";
import type { SelectCandidates } from "../../../src/request/chain/selectCandidates.ts";
import type { Configuration, EndpointConfiguration } from "../../../src/version/configuration.ts";
import { createSeededRandom } from "../../support/createSeededRandom.ts";
import { toEndpointAddress } from "../../support/toEndpointAddress.ts";

/** An endpoint of a {@link ChainFixture}. */
export interface FixtureEndpoint {
    start: number;
    end: number;
    dataCentre?: string;
    state?: EndpointState["state"];
    step?: number;
}

/** Fixture for choosers with endpoints `e0`, `e1` and so on, one model `m`, and a clock that the test sets. */
export class ChainFixture {
    readonly configuration: Configuration;
    readonly states = new Map<string, EndpointState>();
    now = 0;

    private constructor(layers: number, endpoints: readonly FixtureEndpoint[]) {
        this.configuration = createConfiguration(layers, endpoints);
        for (const [index, { start, end, state }] of endpoints.entries()) {
            const endpoint = `e${index}`;
            this.states.set(endpoint, { endpoint, state: state ?? "serving", layers: [{ model: "m", start, end }] });
        }
    }

    /** Creates the fixture. */
    static create(layers: number, endpoints: readonly FixtureEndpoint[]): ChainFixture {
        return new ChainFixture(layers, endpoints);
    }

    /** Creates a chooser that uses this fixture's configuration, states and clock. */
    createChooser(seed = 1, selectCandidates?: SelectCandidates): EstimatedTimeChooser {
        const clock: Clock = {
            getMonotonicTime: () => this.now,
            getWallTime: () => this.now,
            setTimer: (_delay, callback) => {
                callback();
                return { cancel: () => undefined };
            },
        };
        return EstimatedTimeChooser.create({
            getConfiguration: () => this.configuration,
            getEndpointState: name => this.states.get(name),
            clock,
            random: createSeededRandom(seed),
            selectCandidates,
        });
    }

    /** Gets the options of a choice for model `m` in data centre `a`. */
    getOptions(options: Partial<ChooseChainOptions> = {}): ChooseChainOptions {
        return {
            model: "m",
            dataCentre: "a",
            positions: 16,
            excluded: new Set(),
            preferred: new Set(),
            ...options,
        };
    }
}

function createConfiguration(layers: number, endpoints: readonly FixtureEndpoint[]): Configuration {
    const entries = endpoints.map(({ start, end, dataCentre, step }, index): [string, EndpointConfiguration] => [
        `e${index}`,
        {
            kind: "engine",
            address: toEndpointAddress("127.0.0.1:1"),
            dataCentre: dataCentre ?? "a",
            accelerator: "k",
            layers: [{ model: "m", start, end }],
            checksFencing: true,
            maximumSequences: 8,
            stepMillisecondsPerLayer: step,
        },
    ]);
    return {
        models: { m: { layers, hiddenBytes: 1_000 } },
        services: {},
        endpoints: Object.fromEntries(entries),
        dataCentres: { a: { region: "r" }, b: { region: "r" } },
        links: [{ from: "a", to: "b", latencyMilliseconds: 10, megabytesPerSecond: 10 }],
        customers: {},
        limits: {
            maximumBodyBytes: 1,
            maximumTokens: 1,
            maximumQueueMilliseconds: 1,
            maximumQueuedRequests: 1,
        },
        claims: { shards: 1, windowMilliseconds: 1, appendIntervalMilliseconds: 1 },
    };
}
