/** Types of the used part of the ini package, which ships none. */
declare module "ini" {
    const ini: {
        /** Decodes a value: removes quotes, escapes and trailing comment. Quoted text may decode to any JSON value. */
        readonly unsafe: (text: string) => unknown;
    };
    export default ini;
}
