/** Parses a model's size of the command line, such as `model:32`, into its name and its layers. */
export function parseModelLayers(text: string): [model: string, layers: number] {
    const [, model = "", layers] = /^(.+):(\d+)$/.exec(text) ?? [];
    if (Number(layers) > 0) {
        return [model, Number(layers)];
    }
    throw new Error(`Model size "${text}" is malformed; write it as MODEL:32.`);
}
