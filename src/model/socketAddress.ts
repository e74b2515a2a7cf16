/** Parses the addresses of listeners. */

export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

const maximumPort = 65_535;

/** Host names and IP addresses; an address becomes a part of orders to databases, so it holds no quotes and no blanks. */
const addressPattern = /^([a-zA-Z0-9_.:%[\]-]{1,255}):([0-9]{1,5})$/;

/** Parses `host:port`. Returns undefined if the host is not one, or the port is not between 1 and 65535. */
export function parseAddress(text: string): SocketAddress | undefined {
    const [, host, portText] = addressPattern.exec(text) ?? [];
    const port = Number(portText);
    return host !== undefined && port >= 1 && port <= maximumPort ? { host, port } : undefined;
}
