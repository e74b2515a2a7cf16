/** Parses the addresses of listeners. */

export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

const maximumPort = 65_535;

/** Parses `host:port`. Returns undefined when the host is empty or the port is not between 1 and 65535. */
export function parseAddress(text: string): SocketAddress | undefined {
    const [, host, portText] = /^(.+):([0-9]{1,5})$/.exec(text) ?? [];
    const port = Number(portText);
    return host !== undefined && port >= 1 && port <= maximumPort ? { host, port } : undefined;
}
