/** Why a connection to an endpoint was not opened. */
export interface OpeningFailure {
    message: string;
    /**
     * Whether the endpoint is proven to be down: its machine refused the connection, or a peer that reaches other endpoints can't connect
     * to it either. A node that is cut off from endpoints and peers proves nothing.
     */
    isProven: boolean;
}
