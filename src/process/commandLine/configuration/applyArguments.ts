/** Arguments of `config apply`. */
export interface ApplyArguments {
    /** File of the configuration. */
    file: string;
    /** Address of the platform's key-value service. */
    store: string;
    /** Version that the text was made from; the one that stands in the store where undefined. */
    expect?: number;
    /** Whether to apply without a question. */
    yes: boolean;
    /** Whether to wait until the version is in force on every node. */
    wait: boolean;
    /** Longest wait, in seconds. */
    timeout: number;
    /** Admin listeners of nodes. */
    admin?: string[];
    /** Unique name of the edit; a new one where undefined. */
    edit?: string;
    /** Who applies; the user of this process where undefined. */
    author?: string;
}
