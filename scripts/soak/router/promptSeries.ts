import type { SeededRandom } from "../seededRandom.ts";
import { callKinds } from "./callKind.ts";
import type { CallRecord } from "./callRecord.ts";
import { type Customer, customers } from "./customers.ts";

const commonParts = 2;
const maximumId = 0x7fff_ffff;
const tokens = [20, 900] as const;

/** Creates requests with common parts of their prompts, some of them with a part that crashes endpoints. No two are alike. */
export class PromptSeries {
    readonly harmfulPart: string;
    private readonly name: string;
    private readonly random: SeededRandom;
    private readonly kind: CallRecord["kind"];
    private readonly customer: Customer;
    private readonly sharedParts: readonly string[];
    /** Index of the harmful part in a prompt, before the last part. */
    private readonly position: number;
    private count = 0;

    private constructor(name: string, random: SeededRandom) {
        this.name = name;
        this.random = random;
        this.harmfulPart = createId(random);
        this.kind = random.choose([callKinds.prompt, callKinds.promptOnce])!;
        this.customer = random.choose(customers)!;
        this.sharedParts = Array.from({ length: commonParts }, () => createId(random));
        this.position = random.chooseInteger(0, commonParts);
    }

    /** Creates a series with random parts. */
    static create(name: string, random: SeededRandom): PromptSeries {
        return new PromptSeries(name, random);
    }

    /** Creates the next request. */
    createCall(isHarmful: boolean): Pick<CallRecord, "id" | "kind" | "role"> & { customer: Customer; } {
        const { name, random, kind, customer, sharedParts, position } = this;
        this.count += 1;
        const shared = isHarmful ? sharedParts.toSpliced(position, 0, this.harmfulPart) : sharedParts;
        const prefix = [...shared, createId(random)].map(id => `${id}:${random.chooseInteger(...tokens)}`).join(",");
        const id = `${name}-${isHarmful ? "harmful" : "sound"}-${this.count}`;
        return { id, kind, customer, role: { series: name, isHarmful, prefix } };
    }
}

function createId(random: SeededRandom): string {
    return random.chooseInteger(1, maximumId).toString(16);
}
