cwlVersion: v1.2
class: Workflow
requirements: {InlineJavascriptRequirement: {}}
inputs:
  receipt: {type: string, default: "fuel 41.50"}
outputs:
  paid: {type: string, outputSource: pay/slip}
steps:
  read:
    in: {text: receipt}
    out: [page]
    run:
      class: CommandLineTool
      baseCommand: echo
      stdout: page.txt
      inputs: {text: {type: string, inputBinding: {}}}
      outputs: {page: stdout}
  check:
    in: {page: read/page}
    out: [verdict]
    run:
      class: CommandLineTool
      baseCommand: cat
      stdout: checked.txt
      inputs: {page: {type: File, inputBinding: {}}}
      outputs:
        verdict: {type: string, outputBinding: {glob: checked.txt, loadContents: true, outputEval: "$(self[0].contents.trim())"}}
  pay:
    in: {what: check/verdict}
    out: [slip]
    run:
      class: CommandLineTool
      baseCommand: [echo, paid]
      stdout: slip.txt
      inputs: {what: {type: string, inputBinding: {}}}
      outputs:
        slip: {type: string, outputBinding: {glob: slip.txt, loadContents: true, outputEval: "$(self[0].contents.trim())"}}
