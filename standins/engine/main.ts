/** Starts a model engine stand-in; see `--help`. */
import yargs from "yargs";
import { EngineStandin } from "./engineStandin.ts";
import { engineStandinDefaults as defaults } from "./engineStandinDefaults.ts";
import { parseLayerRange } from "./parseLayerRange.ts";
import { parseModelLayers } from "./parseModelLayers.ts";

const numberOption = (value: number, description: string) => ({ type: "number" as const, default: value, description });

const parsed = yargs(process.argv.slice(2))
    .option("name", { type: "string", demandOption: true, description: "Name of the endpoint." })
    .option("port", numberOption(defaults.port, "TCP port on 127.0.0.1; 0 for any."))
    .option("layers", {
        type: "string",
        array: true,
        default: [],
        description: "Held layers, as MODEL:0-16; repeatable.",
    })
    .option("model-layers", {
        type: "string",
        array: true,
        demandOption: true,
        description: "Whole models, as MODEL:32.",
    })
    .option("step-milliseconds-per-layer", numberOption(defaults.stepMillisecondsPerLayer, "Time of a layer."))
    .option("step-base-milliseconds", numberOption(defaults.stepBaseMilliseconds, "Time of a step besides its layers."))
    .option(
        "prefill-milliseconds-per-position",
        numberOption(defaults.prefillMillisecondsPerPosition, "Time of each further position of a pass."),
    )
    .option("maximum-batch-positions", numberOption(defaults.maximumBatchPositions, "Most positions of a step."))
    .option("maximum-sequences", numberOption(defaults.maximumSequences, "Most sequences that hold memory."))
    .option("memory-positions", numberOption(defaults.memoryPositions, "Positions that fit through all held layers."))
    .option("checks-fencing", {
        type: "boolean",
        default: defaults.checksFencing,
        description: "Whether orders with an old fencing number are refused.",
    })
    .option("load-lag-milliseconds", numberOption(defaults.loadLagMilliseconds, "Interval of the load figures."))
    .option("weight-load-milliseconds", numberOption(defaults.weightLoadMilliseconds, "Time to load a range."))
    .option("hop-delay-milliseconds", numberOption(defaults.hopDelayMilliseconds, "One-way network delay."))
    .option("sequence-idle-milliseconds", numberOption(defaults.sequenceIdleMilliseconds, "Life of idle sequences."))
    .option("prefix-cache-blocks", numberOption(defaults.prefixCacheBlocks, "Blocks of 16 tokens; at least 1."))
    .option("cache-event-delay-milliseconds", numberOption(defaults.cacheEventDelayMilliseconds, "Lateness of events."))
    .option("cache-event-gap-every", numberOption(defaults.cacheEventGapEvery, "About one event in so many is lost."))
    .option("recorded-requests", numberOption(defaults.recordedRequests, "Requests that the record keeps."))
    .option("seed", numberOption(defaults.seed, "Seed of the lost events."))
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
