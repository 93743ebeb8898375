/** Starts a model engine stand-in; see `--help`. */
import yargs from "yargs";
import { EngineStandin } from "./engineStandin.ts";
import { engineStandinDefaults as defaults } from "./engineStandinDefaults.ts";
import { parseLayerRange } from "./parseLayerRange.ts";
import { parseModelLayers } from "./parseModelLayers.ts";

const numberOption = (value: number, description: string) => ({ type: "number" as const, default: value, description });

const parsed = yargs(process.argv.slice(2))
    .option("name", { type: "string", demandOption: true, description: "Name of the endpoint." })
    .option("port", numberOption(defaults.port, "TCP port on 127.0.0.1; 0 for any free port."))
    .option("layers", {
        type: "string",
        array: true,
        default: [],
        description: "Layers that the engine holds, as MODEL:0-16; repeatable.",
    })
    .option("model-layers", {
        type: "string",
        array: true,
        demandOption: true,
        description: "Number of layers of a model, as MODEL:32; repeatable.",
    })
    .option("step-milliseconds-per-layer", numberOption(defaults.stepMillisecondsPerLayer, "Time of a step per layer."))
    .option("step-base-milliseconds", numberOption(defaults.stepBaseMilliseconds, "Fixed time of a step."))
    .option(
        "prefill-milliseconds-per-position",
        numberOption(
            defaults.prefillMillisecondsPerPosition,
            "Time of a step per uncached position after the first of a pass.",
        ),
    )
    .option(
        "maximum-batch-positions",
        numberOption(defaults.maximumBatchPositions, "Maximum number of positions in a step."),
    )
    .option("maximum-sequences", numberOption(defaults.maximumSequences, "Maximum number of sequences in memory."))
    .option(
        "memory-positions",
        numberOption(defaults.memoryPositions, "Number of positions that fit in memory, for all layers."),
    )
    .option("checks-fencing", {
        type: "boolean",
        default: defaults.checksFencing,
        description: "Refuse orders with an old fencing number.",
    })
    .option(
        "load-lag-milliseconds",
        numberOption(defaults.loadLagMilliseconds, "Interval at which the load is sampled."),
    )
    .option("weight-load-milliseconds", numberOption(defaults.weightLoadMilliseconds, "Time to load a layer range."))
    .option("hop-delay-milliseconds", numberOption(defaults.hopDelayMilliseconds, "One-way network delay."))
    .option(
        "sequence-idle-milliseconds",
        numberOption(defaults.sequenceIdleMilliseconds, "Idle time until a sequence is dropped."),
    )
    .option(
        "prefix-cache-blocks",
        numberOption(defaults.prefixCacheBlocks, "Prefix cache size in blocks of 16 tokens; at least 1."),
    )
    .option(
        "cache-event-delay-milliseconds",
        numberOption(defaults.cacheEventDelayMilliseconds, "Delay of cache events."),
    )
    .option(
        "cache-event-gap-every",
        numberOption(defaults.cacheEventGapEvery, "Average number of cache events per lost event; 0 if none are lost."),
    )
    .option(
        "recorded-requests",
        numberOption(defaults.recordedRequests, "Maximum number of requests in the execution record."),
    )
    .option("seed", numberOption(defaults.seed, "Seed that determines which cache events are lost."))
    .strict()
    .parseSync();

const engine = EngineStandin.create({
    ...parsed,
    layers: parsed.layers.map(parseLayerRange),
    modelLayers: Object.fromEntries(parsed.modelLayers.map(parseModelLayers)),
});
process.on("SIGTERM", () => process.exit(0));
await engine.listen();
console.log(`engine ${parsed.name} ready on ${engine.getAddress()}`);
