/** TCP relay between processes, with which scripts simulate a network partition. */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/** Forwards connections to one port. While disconnected, connections stay open but pass no data, as in a partition. */
export class Relay implements AsyncDisposable {
    /** Bytes forwarded in both directions. */
    bytes = 0;
    private readonly targetPort: number;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private disconnected = false;

    private constructor(targetPort: number) {
        this.targetPort = targetPort;
        this.server = createServer(socket => this.accept(socket));
    }

    static async open(targetPort: number): Promise<Relay> {
        const relay = new Relay(targetPort);
        relay.server.listen(0, "127.0.0.1");
        await once(relay.server, "listening");
        return relay;
    }

    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    disconnect(): void {
        this.disconnected = true;
        this.sockets.forEach(socket => socket.pause());
    }

    reconnect(): void {
        this.disconnected = false;
        this.sockets.forEach(socket => socket.resume());
    }

    async [Symbol.asyncDispose](): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private accept(clientSocket: Socket): void {
        const targetSocket = connect(this.targetPort, "127.0.0.1");
        this.forward(clientSocket, targetSocket);
        this.forward(targetSocket, clientSocket);
    }

    private forward(from: Socket, to: Socket): void {
        this.sockets.add(from);
        from.on("data", (chunk: Buffer) => {
            this.bytes += chunk.length;
            to.write(chunk);
        });
        from.on("end", () => to.end());
        from.on("error", () => to.destroy());
        from.on("close", () => {
            this.sockets.delete(from);
            to.destroy();
        });
        if (this.disconnected) {
            from.pause();
        }
    }
}
