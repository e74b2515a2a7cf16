/** A client's session at a proxy: one statement at a time, each with the whole answer or the reason why there is none. */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { LineReader, wireEncoding } from "../../src/platform/wireLines.ts";

/** Time after which a client gives up an answer. */
const answerTimeoutMs = 3_000;

export interface ClientAnswer {
    /** The lines between the statement and READY. */
    readonly lines: readonly string[];
    /** Signature of a success; `-` if the proxy may have answered itself. */
    readonly signature: string | undefined;
    readonly rows: readonly string[];
    /** Code of the error; `closed` or `silent` if the answer did not end. */
    readonly error: string | undefined;
    /** The connection state that READY names. */
    readonly state: string | undefined;
}

export class ClientSession implements Disposable {
    /** Complete answers that came while nothing was asked. */
    unaskedAnswers = 0;
    /** Values and shapes (VERB SHAPE) that were acknowledged to this client. */
    readonly values = new Map<string, string>();
    readonly shapes = new Map<string, string>();
    private readonly socket: Socket;
    private readonly reader = new LineReader();
    private lines: string[] = [];
    private resolve: ((answer: ClientAnswer) => void) | undefined;

    private constructor(host: string, port: number) {
        this.socket = connect({ host, port });
        // The end of a connection is reported by "close".
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => this.finish("closed"));
        this.socket.on("data", (chunk: Buffer) => this.reader.push(chunk).forEach(line => this.receive(line)));
    }

    /** Returns undefined if the proxy does not accept the session. */
    static async open(host: string, port: number, database: string, key: string): Promise<ClientSession | undefined> {
        const session = new ClientSession(host, port);
        const { error } = await session.ask(`CONNECT ${database} ${key}`);
        if (error !== undefined) {
            session[Symbol.dispose]();
            return undefined;
        }
        return session;
    }

    get isOpen(): boolean {
        return !this.socket.destroyed && this.socket.writable;
    }

    /** Sends a line and waits for its answer. */
    async ask(line: string): Promise<ClientAnswer> {
        if (!this.isOpen) {
            return toAnswer([], "closed");
        }
        const answer = new Promise<ClientAnswer>(resolve => this.resolve = resolve);
        const timer = setTimeout(() => {
            this.finish("silent");
            this.socket.destroy();
        }, answerTimeoutMs);
        this.socket.write(`${line}\r\n`, wireEncoding);
        const result = await answer;
        clearTimeout(timer);
        return result;
    }

    /** Resolves when the connection has ended. */
    async closed(): Promise<void> {
        if (!this.socket.destroyed) {
            await once(this.socket, "close");
        }
    }

    [Symbol.dispose](): void {
        this.socket.destroy();
    }

    private receive(line: string): void {
        this.lines.push(line);
        const isEnd = line.startsWith("READY");
        if (isEnd && this.resolve === undefined) {
            this.unaskedAnswers += 1;
            this.lines = [];
            this.socket.destroy();
        }
        else if (isEnd) {
            this.finish(undefined);
        }
    }

    private finish(failure: string | undefined): void {
        const answer = toAnswer(this.lines, failure);
        this.lines = [];
        const resolve = this.resolve;
        this.resolve = undefined;
        resolve?.(answer);
    }
}

function toAnswer(lines: readonly string[], failure: string | undefined): ClientAnswer {
    const fieldOf = (word: string): string | undefined =>
        lines.find(line => line.startsWith(`${word} `))?.split(" ")[1];
    const error = failure ?? fieldOf("ERROR");
    return {
        lines,
        signature: error === undefined ? fieldOf("COMPLETE") : undefined,
        rows: lines.filter(line => line.startsWith("ROW ")),
        error: error ?? (fieldOf("COMPLETE") === undefined && fieldOf("READY") === undefined ? "empty" : undefined),
        state: fieldOf("READY"),
    };
}
