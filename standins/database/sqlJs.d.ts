/** Types for the part of sql.js that the stand-in uses; the package ships none. */
declare module "sql.js" {
    export type SqlValue = number | string | Uint8Array | null;

    export interface QueryExecResult {
        readonly columns: string[];
        readonly values: SqlValue[][];
    }

    export interface Statement {
        step(): boolean;
        get(): SqlValue[];
        getColumnNames(): string[];
        free(): boolean;
    }

    export interface Database {
        run(sql: string): Database;
        exec(sql: string): QueryExecResult[];
        prepare(sql: string): Statement;
        getRowsModified(): number;
        export(): Uint8Array;
        close(): void;
    }

    export interface SqlJsStatic {
        readonly Database: new(data?: Uint8Array) => Database;
    }

    export default function initSqlJs(): Promise<SqlJsStatic>;
}
