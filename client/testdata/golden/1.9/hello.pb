g-1 	*a*b2
look (0Â>to come