/** A client's session at a proxy: one statement at a time, each with the whole answer or the reason why there is none. */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { ChunkWriter } from "./chunkWriter.ts";
import type { OddTexts } from "./oddTexts.ts";
import { encodeMessage, MessageKind, MessageReader, show, type WireMessage } from "./wireMessages.ts";

/** Times after which a client gives up the answer to CONNECT, and to a statement. */
const connectTimeoutMs = 2_000;
const answerTimeoutMs = 3_000;

export interface ClientAddress {
    readonly host: string;
    readonly port: number;
    readonly database: string;
    readonly key: string;
}

export interface ClientSessionOptions {
    /** Told of each message that the protocol does not allow; the session ends with it. */
    readonly onViolation: (text: string) => void;
    /** Cuts the messages into chunks. */
    readonly texts?: OddTexts | undefined;
}

export interface ClientAnswer {
    /** Signature of a success; `-` if the proxy may have answered itself. */
    readonly signature: string | undefined;
    readonly rows: readonly string[];
    /** Code of the error; `closed`, `silent` or `malformed` if the answer did not end. */
    readonly error: string | undefined;
    /** The connection state that READY names. */
    readonly state: string | undefined;
}

export class ClientSession implements Disposable {
    /** Messages that came while nothing was asked. */
    unaskedCount = 0;
    /** Values and shapes (VERB SHAPE) that were acknowledged to this client. */
    readonly values = new Map<string, string>();
    readonly shapes = new Map<string, string>();
    private readonly socket: Socket;
    private readonly writer: ChunkWriter;
    private readonly onViolation: (text: string) => void;
    private readonly reader = new MessageReader();
    /** What is asked, and the messages that have answered it so far. */
    private askedKind: MessageKind | undefined;
    private messages: WireMessage[] = [];
    private resolve: ((answer: ClientAnswer) => void) | undefined;

    private constructor(host: string, port: number, { onViolation, texts }: ClientSessionOptions) {
        this.socket = connect({ host, port });
        this.writer = new ChunkWriter(this.socket, texts);
        this.onViolation = onViolation;
        // The end of a connection is reported by "close".
        this.socket.on("error", () => undefined);
        this.socket.on("close", () => this.finish("closed"));
        this.socket.on("data", (chunk: Buffer) => this.read(chunk));
    }

    /** Returns undefined if the proxy does not accept the session. */
    static async open(address: ClientAddress, options: ClientSessionOptions): Promise<ClientSession | undefined> {
        const { host, port, database, key } = address;
        const session = new ClientSession(host, port, options);
        const { error } = await session.ask(MessageKind.Connect, connectTimeoutMs, database, key);
        if (error !== undefined) {
            session[Symbol.dispose]();
            return undefined;
        }
        return session;
    }

    get isOpen(): boolean {
        return !this.socket.destroyed && this.socket.writable;
    }

    /** Sends a statement and waits for its answer. */
    async query(id: string, text: string): Promise<ClientAnswer> {
        return this.ask(MessageKind.Query, answerTimeoutMs, id, text);
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

    private async ask(kind: MessageKind, timeoutMs: number, ...fields: readonly string[]): Promise<ClientAnswer> {
        if (!this.isOpen) {
            return toAnswer([], "closed");
        }
        const answer = new Promise<ClientAnswer>(resolve => this.resolve = resolve);
        this.askedKind = kind;
        const timer = setTimeout(() => this.leave("silent"), timeoutMs);
        this.writer.write(encodeMessage(kind, ...fields));
        const result = await answer;
        clearTimeout(timer);
        return result;
    }

    private read(chunk: Buffer): void {
        try {
            for (const message of this.reader.read(chunk)) {
                this.receive(message);
                if (this.socket.destroyed) {
                    return;
                }
            }
        }
        catch (error) {
            this.onViolation((error as Error).message);
            this.leave("malformed");
        }
    }

    private receive(message: WireMessage): void {
        const { kind, fields } = message;
        if (this.askedKind === undefined) {
            this.unaskedCount += 1;
            // An ERROR may say why the session ends.
            if (kind !== MessageKind.Error) {
                this.onViolation(`${kind} ${show(fields.join(" "))} while nothing was asked`);
            }
            this.leave("malformed");
        }
        else if (!isNext(this.askedKind, this.messages, message)) {
            this.onViolation(
                `${kind} ${show(fields.join(" "))} behind ${this.messages.at(-1)?.kind ?? this.askedKind}`,
            );
            this.leave("malformed");
        }
        else {
            this.messages.push(message);
            if (kind === MessageKind.Ready) {
                this.finish(undefined);
            }
        }
    }

    private leave(reason: string): void {
        this.finish(reason);
        this.socket.destroy();
    }

    private finish(failure: string | undefined): void {
        const answer = toAnswer(this.messages, failure);
        this.messages = [];
        this.askedKind = undefined;
        const resolve = this.resolve;
        this.resolve = undefined;
        resolve?.(answer);
    }
}

/** Whether a message may follow those that came as an answer: any rows, COMPLETE or ERROR, READY. */
function isNext(asked: MessageKind, earlier: readonly WireMessage[], { kind, fields }: WireMessage): boolean {
    const last = earlier.at(-1)?.kind;
    const hasOutcome = last === MessageKind.Complete || last === MessageKind.Error;
    switch (kind) {
        case MessageKind.Row:
        case MessageKind.Complete:
            return asked === MessageKind.Query && !hasOutcome && fields.length === 1;
        case MessageKind.Error:
            return !hasOutcome;
        case MessageKind.Ready: {
            const [state, position] = fields;
            const isInOrder = asked === MessageKind.Connect ? last === undefined : hasOutcome;
            return isInOrder && /^[ITE]$/.test(state ?? "") && /^(-|\d+\.\d+)$/.test(position ?? "");
        }
        default:
            return false;
    }
}

function toAnswer(messages: readonly WireMessage[], failure: string | undefined): ClientAnswer {
    const fieldOf = (kind: MessageKind): string | undefined =>
        messages.find(message => message.kind === kind)?.fields[0];
    const error = failure ?? fieldOf(MessageKind.Error);
    return {
        signature: error === undefined ? fieldOf(MessageKind.Complete) : undefined,
        rows: messages.filter(({ kind }) => kind === MessageKind.Row).map(({ fields }) => fields[0]!),
        error,
        state: fieldOf(MessageKind.Ready),
    };
}
