/** Arguments of `config apply`. */
export interface ApplyArguments {
    /** Path of the configuration file. */
    file: string;
    /** Address of the platform's key-value service. */
    store: string;
    /** Version that the text is based on. Defaults to the one in the store. */
    expect?: number;
    /** Whether to apply without confirmation. */
    yes: boolean;
    /** Whether to wait until the version is in force on every node. */
    wait: boolean;
    /** Maximum time to wait, in seconds. */
    timeout: number;
    /** Addresses of the admin listeners of nodes. */
    admin?: string[];
    /** Unique id of the edit. Defaults to a new one. */
    edit?: string;
    /** Author of the edit. Defaults to the user of this process. */
    author?: string;
}
