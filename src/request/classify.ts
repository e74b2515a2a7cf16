/** Third step of the request pipe: determines the kind of each statement and the targets that apply to it. */
import { match, P } from "ts-pattern";
import { ClusterKind, type ConfigurationApplied } from "../model/clusterMessages.ts";
import { type Refusal, RefusalCode, refuse } from "../model/refusal.ts";
import { type StatementAttributes, StatementKind } from "../model/statement.ts";
import { defaultWorkClass, type WorkClass } from "../model/workClass.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { parseLocalStatement } from "./localStatements.ts";
import {
    type AuthenticatedRequest,
    type ClassifiedRequest,
    LocalAction,
    type RefusedRequest,
    RequestKind,
    type SessionEnded,
} from "./requestMessages.ts";
import { tokenizeSql } from "./sqlTokenizer.ts";
import { parseAttributes } from "./statementAttributes.ts";
import { classifyStatement } from "./statementKind.ts";

type Input = AuthenticatedRequest | ConfigurationApplied | SessionEnded;

type Classification = Pick<ClassifiedRequest, "statementKind" | "localAction" | "localArgument" | "text">;

/** Parses statements: removes comments and determines attributes, kind, work class and deadline. */
export class ClassifyFilter implements Filter<Input, Message> {
    readonly step = "classify";
    readonly accepts = [RequestKind.Authenticated, ClusterKind.ConfigurationApplied, RequestKind.SessionEnded];
    private workClasses = new Map<string, WorkClass>();
    /** Connections with an open transaction, judged by the statements alone. */
    private readonly inTransaction = new Set<number>();

    process(message: Input): readonly Message[] {
        return match(message)
            .with({ kind: RequestKind.Authenticated }, request => [this.classify(request)])
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => {
                this.workClasses = new Map(applied.configuration.workClasses.map(each => [each.name, each]));
                return [applied];
            })
            .with({ kind: RequestKind.SessionEnded }, ended => {
                this.inTransaction.delete(ended.connectionId);
                return [ended];
            })
            .exhaustive();
    }

    private classify(request: AuthenticatedRequest): ClassifiedRequest | RefusedRequest {
        const sql = tokenizeSql(request.text);
        const { attributes, error } = parseAttributes(sql.comments);
        if (error !== undefined) {
            return this.refuse(request, refuse(RefusalCode.MalformedAttribute, this.step, { detail: error }));
        }
        if (sql.error !== undefined) {
            return this.refuse(request, refuse(RefusalCode.StatementUnsupported, this.step, { detail: sql.error }));
        }
        const targets = this.findTargets(attributes);
        if (targets === undefined) {
            return this.refuse(
                request,
                refuse(RefusalCode.UnknownClass, this.step, { detail: attributes.workClass ?? "" }),
            );
        }
        const local = parseLocalStatement(sql.tokens);
        const kind = local === undefined ? classifyStatement(sql.tokens) : StatementKind.Local;
        return match(kind)
            .with(
                { unsupported: P.string },
                ({ unsupported }) =>
                    this.refuse(request, refuse(RefusalCode.StatementUnsupported, this.step, { detail: unsupported })),
            )
            .otherwise(statementKind =>
                this.buildClassified(request, targets, attributes, {
                    statementKind,
                    localAction: local?.action ?? LocalAction.None,
                    localArgument: local?.argument ?? "",
                    text: sql.statement,
                })
            );
    }

    private buildClassified(
        request: AuthenticatedRequest,
        targets: WorkClass,
        attributes: StatementAttributes,
        classification: Classification,
    ): ClassifiedRequest {
        this.trackTransaction(request.connectionId, classification.statementKind);
        return {
            ...request,
            ...classification,
            kind: RequestKind.Classified,
            attributes,
            workClass: targets.name,
            targets,
            deadlineMs: request.arrivedAtMs + targets.waitingMs,
            inTransaction: this.inTransaction.has(request.connectionId),
        };
    }

    /** Returns the targets of the work class. The attribute for the maximum age of data overrides that of the class. */
    private findTargets(attributes: StatementAttributes): WorkClass | undefined {
        const named = attributes.workClass === undefined
            ? this.workClasses.get(defaultWorkClass.name) ?? defaultWorkClass
            : this.workClasses.get(attributes.workClass);
        if (named === undefined || attributes.maximumAgeMs === undefined) {
            return named;
        }
        return { ...named, maximumAgeMs: attributes.maximumAgeMs };
    }

    private trackTransaction(connectionId: number, kind: StatementKind): void {
        if (kind === StatementKind.Begin) {
            this.inTransaction.add(connectionId);
        }
        else if (kind === StatementKind.Commit || kind === StatementKind.Rollback) {
            this.inTransaction.delete(connectionId);
        }
    }

    private refuse({ connectionId, sequence }: AuthenticatedRequest, refusal: Refusal): RefusedRequest {
        return { kind: RequestKind.Refused, connectionId, sequence, refusal, request: undefined };
    }
}
