"""Pure decisions: state, a typed message and a time go in; new state comes out."""
