/** Types of the used part of the ini package, which ships none. */
declare module "ini" {
    const ini: {
        /** Decodes one value: removes quotes, escapes and trailing comments. Quoted text may decode to any JSON value. */
        readonly unsafe: (text: string) => unknown;
    };
    export default ini;
}
