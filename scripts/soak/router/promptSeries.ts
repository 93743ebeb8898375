import type { SeededRandom } from "../seededRandom.ts";
import { callKinds } from "./callKind.ts";
import type { Customer } from "./customers.ts";
import { customers } from "./customers.ts";
import type { PromptCall } from "./promptCall.ts";

/** Options of {@link PromptSeries}. */
interface PromptSeriesOptions {
    name: string;
    kind: PromptCall["kind"];
    customer: Customer;
    /** Ids of the parts that all requests of the series have in common. */
    commonParts: readonly string[];
    harmfulPart: string;
    /** Index of the harmful part in a prompt. */
    position: number;
    random: SeededRandom;
}

const commonPartCount = 2;
const maximumId = 0x7fff_ffff;
const tokens = [20, 900] as const;

/** Creates requests with common parts of their prompts, some of them with a part that crashes endpoints. No two are alike. */
export class PromptSeries {
    readonly harmfulPart: string;
    private readonly options: PromptSeriesOptions;
    private count = 0;

    private constructor(options: PromptSeriesOptions) {
        this.options = options;
        this.harmfulPart = options.harmfulPart;
    }

    /** Creates a series with random parts and a random position of the harmful part before the last one. */
    static create(name: string, random: SeededRandom): PromptSeries {
        return new PromptSeries({
            name,
            kind: random.choose([callKinds.prompt, callKinds.promptOnce])!,
            customer: random.choose(customers)!,
            commonParts: Array.from({ length: commonPartCount }, () => createId(random)),
            harmfulPart: createId(random),
            position: random.chooseInteger(0, commonPartCount),
            random,
        });
    }

    /** Creates the next request. */
    createCall(isHarmful: boolean): PromptCall {
        const { name, kind, customer, commonParts, harmfulPart, position, random } = this.options;
        this.count += 1;
        const shared = isHarmful ? commonParts.toSpliced(position, 0, harmfulPart) : commonParts;
        const prefix = [...shared, createId(random)].map(id => `${id}:${random.chooseInteger(...tokens)}`).join(",");
        const id = `${name}-${isHarmful ? "harmful" : "sound"}-${this.count}`;
        return { id, kind, customer, role: { series: name, isHarmful, prefix } };
    }
}

function createId(random: SeededRandom): string {
    return random.chooseInteger(1, maximumId).toString(16);
}
