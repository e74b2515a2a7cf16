/** Addresses of listeners as texts. */

export interface SocketAddress {
    readonly host: string;
    readonly port: number;
}

const maximumPort = 65_535;

/** Reads `host:port`; undefined when the host is empty or no listener can have the port. */
export function parseAddress(text: string): SocketAddress | undefined {
    const [, host, portText] = /^(.+):([0-9]{1,5})$/.exec(text) ?? [];
    const port = Number(portText);
    return host !== undefined && port >= 1 && port <= maximumPort ? { host, port } : undefined;
}
