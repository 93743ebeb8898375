import type { Socket } from "node:net";
import type { Address } from "../../../process/settings/address.ts";

/** Creates a TCP socket that is connecting to an address. */
export type CreateSocket = (address: Address) => Socket;
