/** Parses a model name and its number of layers from the command line, such as `model:32`. */
export function parseModelLayers(text: string): [model: string, layers: number] {
    const [, model = "", layers] = /^(.+):(\d+)$/.exec(text) ?? [];
    if (Number(layers) > 0) {
        return [model, Number(layers)];
    }
    throw new Error(`Model size "${text}" is malformed. Use the form MODEL:32.`);
}
