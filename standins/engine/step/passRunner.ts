import type { Pass, PassResult } from "../../../src/connection/endpoint/engineProtocol.ts";
import { Err, Ok, type Result } from "../../../src/result.ts";
import type { EngineFaults } from "../engineFaults.ts";
import type { ExecutionRecord } from "../executionRecord.ts";
import type { HeldLayers } from "../heldLayers.ts";
import { modelFunction } from "../model/modelFunction.ts";
import type { PrefixCache } from "../prefixCache.ts";
import type { Sequence } from "../sequence/sequence.ts";
import type { SequenceStore } from "../sequence/sequenceStore.ts";
import type { WaitingPass } from "./waitingPass.ts";

/** Options of {@link PassRunner}. */
interface PassRunnerOptions {
    modelLayers: Record<string, number>;
    heldLayers: HeldLayers;
    sequences: SequenceStore;
    prefixCache: PrefixCache;
    record: ExecutionRecord;
    faults: EngineFaults;
}

/** Result of a pass and its prefill cost. The pass ID and queue length of the result are set on delivery. */
interface PassOutcome {
    result: PassResult;
    /** Number of positions that take prefill time. */
    prefillPositions: number;
}

/** Validates passes and runs them on their sequences. */
export class PassRunner {
    private readonly options: PassRunnerOptions;

    private constructor(options: PassRunnerOptions) {
        this.options = options;
    }

    /** Creates a runner. */
    static create(options: PassRunnerOptions): PassRunner {
        return new PassRunner(options);
    }

    /** Gets the stored result of a pass that has already run. */
    getStoredResult(pass: Pass, key: string): PassResult | undefined {
        const { sequences } = this.options;
        return sequences.isClosed(pass) ? undefined : sequences.getSequence(getIdentity(pass))?.results.get(key);
    }

    /** Runs a pass or refuses it. */
    run({ pass, key, inputs }: WaitingPass): PassOutcome {
        const { record, faults } = this.options;
        const admission = this.admit(pass, inputs.length);
        if (admission.err) {
            record.addRefusal(admission.val);
            const result: PassResult = { ...getResultBase(pass, 0), outcome: "refused", reason: admission.val };
            return { result, prefillPositions: 0 };
        }
        const sequence = admission.val;
        const cachedPositions = pass.position === 0
            ? this.options.prefixCache.lookUpAndStore(pass.model, pass.layerStart, inputs)
            : 0;
        const result = faults.consumeFailure()
            ? this.runPartially(sequence, pass, inputs)
            : this.runCompletely(sequence, pass, inputs);
        sequence.results.set(key, result);
        return { result, prefillPositions: Math.max(0, inputs.length - 1 - cachedPositions) };
    }

    private admit(pass: Pass, positions: number): Result<Sequence, string> {
        const { modelLayers, heldLayers, sequences, faults } = this.options;
        const { model, layerStart, layerEnd, position } = pass;
        if (modelLayers[model] === undefined) {
            return Err("model");
        }
        if (sequences.isClosed(pass)) {
            return Err("cancelled");
        }
        if (!heldLayers.hasRange({ model, start: layerStart, end: layerEnd })) {
            return Err("layers");
        }
        if (faults.consumeRefusal()) {
            return Err("memory");
        }
        const sequence = sequences.getSequence(getIdentity(pass));
        if (sequence) {
            return sequence.isAtPosition(position, layerStart, layerEnd) ? Ok(sequence) : Err("order");
        }
        if (position !== 0) {
            return Err("order");
        }
        return faults.leaving
            ? Err("leaving")
            : sequences.addSequence(getIdentity(pass), positions * (layerEnd - layerStart));
    }

    private runCompletely(sequence: Sequence, pass: Pass, inputs: number[]): PassResult {
        const outputs = this.runLayers(sequence, pass, inputs, pass.layerEnd);
        const base = getResultBase(pass, inputs.length);
        if (pass.layerEnd < (this.options.modelLayers[pass.model] ?? 0)) {
            return { ...base, outcome: "done", hidden: outputs };
        }
        const token = modelFunction.getToken(outputs.at(-1) ?? 0);
        return {
            ...base,
            outcome: "done",
            token,
            text: modelFunction.getText(token),
            end: modelFunction.isEnd(token),
        };
    }

    /** Runs the first half of the layers and returns a failure. */
    private runPartially(sequence: Sequence, pass: Pass, inputs: number[]): PassResult {
        const layerEnd = pass.layerStart + Math.ceil((pass.layerEnd - pass.layerStart) / 2);
        this.runLayers(sequence, pass, inputs, layerEnd);
        return { ...getResultBase(pass, 0), outcome: "failed" };
    }

    private runLayers(sequence: Sequence, pass: Pass, inputs: number[], layerEnd: number): number[] {
        const activations = pass.layerStart === 0 ? inputs.map(modelFunction.embed) : inputs;
        const outputs = sequence.run(activations, pass.layerStart, layerEnd);
        this.options.sequences.addUsage(inputs.length * (layerEnd - pass.layerStart));
        this.options.record.addRun(pass, inputs.length, layerEnd);
        return outputs;
    }
}

function getIdentity({ request, attempt, model }: Pass): Sequence["identity"] {
    return { request, attempt, model };
}

function getResultBase(pass: Pass, count: number): Omit<PassResult, "outcome"> {
    const { id, request, attempt, position, layerStart, layerEnd } = pass;
    return { id, request, attempt, position, count, layerStart, layerEnd, queue: 0 };
}
