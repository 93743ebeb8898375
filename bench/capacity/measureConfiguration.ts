import { EtcdStore } from "../../src/process/platform/etcdStore.ts";
import type { Configuration } from "../../src/version/configuration.ts";
import { CustomerIndex } from "../../src/version/customerIndex.ts";
import { parseConfiguration } from "../../src/version/parseConfiguration.ts";
import { StoredConfiguration } from "../../src/version/storedConfiguration.ts";
import { countWireBytes } from "./countWireBytes.ts";
import { createSizedConfiguration } from "./createSizedConfiguration.ts";
import { designSize } from "./designSize.ts";
import { fitSlope } from "./fitSlope.ts";
import { measureHeap } from "./measureHeap.ts";
import { measureProcessorTime } from "./measureProcessorTime.ts";
import type { Slope } from "./slope.ts";
import { startStandin } from "./startStandin.ts";

const role = "configuration";
const { customers, models, runners } = designSize;
const sizeFactors = [0.25, 0.5, 1];
const repetitions = 5;
const reads = 10;
const versionCopies = 12;

/** Measures the size, parse time, memory and store reads of a configuration by customers, runners and size of the text. */
export async function measureConfiguration(): Promise<Slope[]> {
    const byCustomers = sizeFactors.map(sizeFactor => ({
        x: sizeFactor * customers,
        size: { customers: sizeFactor * customers, runners: 0 },
    }));
    const byRunners = sizeFactors.map(sizeFactor => ({
        x: sizeFactor * runners,
        size: { customers: 0, runners: sizeFactor * runners },
    }));
    for (let repetition = 0; repetition < repetitions; repetition++) {
        parse(createText({ customers, runners }));
    }
    return [
        ...await measureTexts("customer", byCustomers),
        ...await measureTexts("runner", byRunners),
        ...await measureReads(),
    ];
}

async function measureTexts(
    variable: string,
    cases: readonly { x: number; size: { customers: number; runners: number; }; }[],
): Promise<Slope[]> {
    const bytes = [];
    const processor = [];
    const heap = [];
    const indented = [];
    for (const { x, size } of cases) {
        const text = createText(size);
        const indentedText = JSON.stringify(createSizedConfiguration({ ...size, models }), undefined, 4);
        bytes.push({ x, y: Buffer.byteLength(text) });
        indented.push({ x, y: encode(indentedText).length });
        processor.push({ x, y: await measureProcessorTime(() => parse(text), repetitions) / 1_000 });
        const bytesInUse = measureHeap(() => {
            const configuration = parse(text);
            return { configuration, customers: CustomerIndex.create(configuration) };
        }, versionCopies);
        heap.push({ x, y: bytesInUse });
    }
    const id = `configuration.${variable}`;
    return [
        fitSlope({ id: `${id}.bytes`, role, quantity: "text, one entry a line", unit: "B", variable }, bytes),
        fitSlope({ id: `${id}.stored`, role, quantity: "stored, text indented by 4", unit: "B", variable }, indented),
        fitSlope({ id: `${id}.parse`, role, quantity: "parse", unit: "ms", variable }, processor),
        fitSlope({ id: `${id}.heap`, role, quantity: "memory of a version", unit: "B", variable }, heap),
    ];
}

/** Measures the cost of one periodic read of the store for the node that reads. */
async function measureReads(): Promise<Slope[]> {
    const standin = await startStandin("standins/platform/main.ts");
    const store = EtcdStore.create({ address: standin.address, timeoutMilliseconds: 5_000 });
    const processor = [];
    const bytes = [];
    let revision = 0;
    for (const sizeFactor of sizeFactors) {
        const text = createText({ customers: sizeFactor * customers, runners: sizeFactor * runners });
        const swap = await store.compareAndSwap(StoredConfiguration.key, revision, encode(text));
        revision = swap.unwrap().revision ?? 0;
        await store.get(StoredConfiguration.key);
        const spent = await measureProcessorTime(async () => {
            for (let read = 0; read < reads; read++) {
                await store.get(StoredConfiguration.key);
            }
        }, repetitions);
        const x = Buffer.byteLength(text) / 1_024;
        processor.push({ x, y: spent / 1_000 / reads });
        const transferredBytes = await countWireBytes(standin.address, async address => {
            const proxied = EtcdStore.create({ address, timeoutMilliseconds: 5_000 });
            await proxied.get(StoredConfiguration.key);
            await proxied.close();
        });
        bytes.push({ x, y: transferredBytes / 1_024 });
    }
    await store.close();
    await standin.stop();
    const variable = "KiB of text";
    return [
        fitSlope({ id: "configuration.read", role, quantity: "read from the store", unit: "ms", variable }, processor),
        fitSlope(
            { id: "configuration.readBytes", role, quantity: "read from the store", unit: "KiB", variable },
            bytes,
        ),
    ];
}

/** Formats a configuration with one entry per line, as operators write long lists. */
function createText(size: { customers: number; runners: number; }): string {
    const sections = Object.entries(createSizedConfiguration({ ...size, models })).map(([name, section]) => {
        const isList = Array.isArray(section);
        const lines = Object.entries(section as object).map(([key, entry]) =>
            `        ${isList ? "" : `${JSON.stringify(key)}: `}${JSON.stringify(entry)}`
        );
        return `    ${JSON.stringify(name)}: ${isList ? "[" : "{"}\n${lines.join(",\n")}\n    ${isList ? "]" : "}"}`;
    });
    return `{\n${sections.join(",\n")}\n}\n`;
}

function encode(text: string): string {
    const edit = { version: 12_345, editId: "3d5c55b6-93a5-4c6c-b76d-a9c32ef0a4b1", author: "operator", appliedAt: 0 };
    const earlierEdits = Array.from({ length: 50 }, () => ({ version: 12_344, editId: edit.editId }));
    return StoredConfiguration.encode({ ...edit, text, earlierEdits });
}

function parse(text: string): Configuration {
    const parsed = parseConfiguration(text);
    if (parsed.err) {
        throw new Error(JSON.stringify(parsed.val[0]));
    }
    return parsed.val;
}
